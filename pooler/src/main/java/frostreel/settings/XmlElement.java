package frostreel.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * One element of a file. If the file conforms to its schema, defaults are filled in and values have the schema's types,
 * so that the accessors do not fail on user input.
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

    /** Returns the element's name without its namespace. */
    public String name() {
        return name;
    }

    /** Returns the parent element, null for the root. */
    XmlElement parent() {
        return parent;
    }

    /** Returns whether the attribute is present or has a default. */
    public boolean has(String attribute) {
        return attributes.containsKey(attribute);
    }

    /**
     * Returns the value, without surrounding whitespace, of an attribute that the schema requires or gives a default.
     *
     * @throws IllegalStateException if the attribute is absent, as the schema neither requires it nor gives a default
     */
    public String text(String attribute) {
        String value = attributes.get(attribute);
        if (value == null) {
            throw new IllegalStateException(
                    "the schema neither requires " + path() + "@" + attribute + " nor gives a default");
        }
        return value.strip();
    }

    /** Returns the value of a decimal attribute. */
    public double decimal(String attribute) {
        return Double.parseDouble(text(attribute));
    }

    /** Returns the value of an integer attribute. */
    public long integer(String attribute) {
        return Long.parseLong(text(attribute));
    }

    /** Returns the value of a boolean attribute, in either of the two forms of XML schema. */
    public boolean isTrue(String attribute) {
        return text(attribute).equals("true") || text(attribute).equals("1");
    }

    /** Returns the value of an attribute in milliseconds, converted to microseconds. */
    public long microsFromMillis(String attribute) {
        return Math.round(decimal(attribute) * MICROS_PER_MILLI);
    }

    /** Returns the value of an attribute in seconds, converted to microseconds. */
    public long microsFromSeconds(String attribute) {
        return Math.round(decimal(attribute) * MICROS_PER_SECOND);
    }

    /** Returns the child elements with this name, in the order of the file. */
    public Stream<XmlElement> children(String childName) {
        return children.stream().filter(child -> child.name.equals(childName));
    }

    /** Returns all child elements, in the order of the file. */
    public List<XmlElement> children() {
        return children;
    }

    /**
     * Returns the first child element with this name, which the schema must require.
     *
     * @throws IllegalStateException if there is none, as the schema does not require it
     */
    public XmlElement child(String childName) {
        return optionalChild(childName)
                .orElseThrow(
                        () -> new IllegalStateException("the schema does not require " + path() + "/" + childName));
    }

    /** Returns the child element with this name, which the schema must permit at most once. */
    Optional<XmlElement> optionalChild(String childName) {
        return children(childName).findFirst();
    }

    /** Returns the names of the elements from the root to this one, separated by slashes. */
    String path() {
        return parent == null ? name : parent.path() + "/" + name;
    }

    /** Creates a validation error of this element, for a rule that the schema cannot express. */
    public ValidationError error(String file, String message) {
        return new ValidationError(file, line, column, path(), message);
    }

    /** Creates a validation error of an attribute, for a rule that the schema cannot express. */
    public ValidationError error(String file, String attribute, String message) {
        return new ValidationError(file, line, column, path() + "@" + attribute, message);
    }
}
