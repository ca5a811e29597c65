package frostreel.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** One element of a file that fits its schema: defaults are filled in, and types are as the schema says. */
public final class XmlElement {
    private final XmlElement parent;
    private final String name;
    private final Map<String, String> attributes;
    private final List<XmlElement> children = new ArrayList<>();
    private final int line;
    private final int column;

    XmlElement(XmlElement parent, String name, Map<String, String> attributes, int line, int column) {
        this.parent = parent;
        this.name = name;
        this.attributes = attributes;
        this.line = line;
        this.column = column;
        if (parent != null) {
            parent.children.add(this);
        }
    }

    public String name() {
        return name;
    }

    XmlElement parent() {
        return parent;
    }

    public boolean has(String attribute) {
        return attributes.containsKey(attribute);
    }

    /** An attribute that the schema requires or gives a default. */
    public String text(String attribute) {
        String value = attributes.get(attribute);
        if (value == null) {
            throw new IllegalStateException("the schema leaves out " + path() + "@" + attribute);
        }
        return value.strip();
    }

    public double number(String attribute) {
        return Double.parseDouble(text(attribute));
    }

    public long whole(String attribute) {
        return Long.parseLong(text(attribute));
    }

    public boolean flag(String attribute) {
        return text(attribute).equals("true") || text(attribute).equals("1");
    }

    /** A time that the schema has in milliseconds, in microseconds. */
    public long ms(String attribute) {
        return Math.round(number(attribute) * 1000);
    }

    /** A time that the schema has in seconds, in microseconds. */
    public long seconds(String attribute) {
        return Math.round(number(attribute) * 1_000_000);
    }

    public Stream<XmlElement> children(String childName) {
        return children.stream().filter(child -> child.name.equals(childName));
    }

    public List<XmlElement> children() {
        return children;
    }

    /** The only child of that name, null where there is none. */
    public XmlElement child(String child) {
        return all(child).findFirst().orElse(null);
    }

    /** The names of the elements from the root to here. */
    String path() {
        return parent == null ? name : parent.path() + "/" + name;
    }

    /** What is wrong here, or in an attribute where one is named, beyond what a schema can say. */
    public Fault fault(String file, String attribute, String text) {
        return new Fault(file, line, column, path() + (attribute == null ? "" : "@" + attribute), text);
    }
}
