package frostreel.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * One element of a file that conforms to its schema: defaults are filled in and values have the types that
 * the schema gives them, so that the accessors do not fail on what a user wrote.
 */
public final class XmlElement {
    private static final double MICROS_PER_MILLI = 1e3;
    private static final double MICROS_PER_SECOND = 1e6;

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

    /** The element's name without its namespace. */
    public String name() {
        return name;
    }

    /** Null for the root. */
    XmlElement parent() {
        return parent;
    }

    /** Whether the attribute is stated, or has a default. */
    public boolean has(String attribute) {
        return attributes.containsKey(attribute);
    }

    /**
     * The value of an attribute that the schema requires or gives a default, without surrounding blanks.
     *
     * @throws IllegalStateException where the schema does neither
     */
    public String text(String attribute) {
        String value = attributes.get(attribute);
        if (value == null) {
            throw new IllegalStateException("the schema leaves out " + path() + "@" + attribute);
        }
        return value.strip();
    }

    /** The value of a decimal attribute. */
    public double decimal(String attribute) {
        return Double.parseDouble(text(attribute));
    }

    /** The value of an integer attribute. */
    public long integer(String attribute) {
        return Long.parseLong(text(attribute));
    }

    /** Whether a boolean attribute is set, in either of the schema's two forms. */
    public boolean isTrue(String attribute) {
        return text(attribute).equals("true") || text(attribute).equals("1");
    }

    /** The value in microseconds of an attribute in milliseconds. */
    public long microsFromMillis(String attribute) {
        return Math.round(decimal(attribute) * MICROS_PER_MILLI);
    }

    /** The value in microseconds of an attribute in seconds. */
    public long microsFromSeconds(String attribute) {
        return Math.round(decimal(attribute) * MICROS_PER_SECOND);
    }

    /** The child elements of a name, in the order of the file. */
    public Stream<XmlElement> children(String childName) {
        return children.stream().filter(child -> child.name.equals(childName));
    }

    /** All child elements, in the order of the file. */
    public List<XmlElement> children() {
        return children;
    }

    /**
     * The child element of a name that the schema requires.
     *
     * @throws IllegalStateException where the schema does not
     */
    public XmlElement child(String childName) {
        return optionalChild(childName)
                .orElseThrow(() -> new IllegalStateException("the schema leaves out " + path() + "/" + childName));
    }

    /** The child element of a name that the schema permits at most once. */
    Optional<XmlElement> optionalChild(String childName) {
        return children(childName).findFirst();
    }

    /** The names of the elements from the root to this one, separated by slashes. */
    String path() {
        return parent == null ? name : parent.path() + "/" + name;
    }

    /** A fault of this element that a schema cannot express. */
    public ValidationError error(String file, String message) {
        return new ValidationError(file, line, column, path(), message);
    }

    /** A fault of an attribute that a schema cannot express. */
    public ValidationError error(String file, String attribute, String message) {
        return new ValidationError(file, line, column, path() + "@" + attribute, message);
    }
}
