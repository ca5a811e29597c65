package frostreel.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.xml.sax.Attributes;
import org.xml.sax.Locator;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;
import org.xml.sax.helpers.DefaultHandler;

/** Builds the element tree from parser events, and converts the parser's errors to validation errors with keys. */
final class XmlElementHandler extends DefaultHandler {
    /** The limit on the errors reported for a file. */
    static final int MAX_ERRORS = 100;

    /** The prefix of the parser's messages that names the schema rule; removed, as it does not help operators. */
    private static final String SCHEMA_RULE = "^cvc-[\\w.-]+: ";

    private static final Pattern ATTRIBUTE = Pattern.compile("ttribute '([\\w:]+)'");
    private static final Pattern ELEMENT = Pattern.compile("element '(?:\\{\"[^\"]*\":)?(\\w+)\\}?'");

    private final String file;
    private final List<ValidationError> errors = new ArrayList<>();
    private XmlElement root;
    private XmlElement current;
    private Locator locator;

    XmlElementHandler(String file) {
        this.file = file;
    }

    XmlElement root() {
        return root;
    }

    List<ValidationError> errors() {
        return errors;
    }

    @Override
    public void setDocumentLocator(Locator locator) {
        this.locator = locator;
    }

    @Override
    public void startElement(String uri, String localName, String qualifiedName, Attributes xmlAttributes) {
        Map<String, String> attributes = new LinkedHashMap<>();
        for (int i = 0; i < xmlAttributes.getLength(); i++) {
            attributes.put(xmlAttributes.getLocalName(i), xmlAttributes.getValue(i));
        }
        current = new XmlElement(current, localName, attributes, locator.getLineNumber(), locator.getColumnNumber());
        root = root == null ? current : root;
    }

    @Override
    public void endElement(String uri, String localName, String qualifiedName) {
        current = current.parent();
    }

    @Override
    public void fatalError(SAXParseException exception) throws SAXException {
        throw exception;
    }

    @Override
    public void error(SAXParseException exception) {
        String text = exception.getMessage().replaceFirst(SCHEMA_RULE, "");
        add(new ValidationError(file, exception.getLineNumber(), exception.getColumnNumber(), key(text), text));
    }

    /**
     * Returns the key that a message is about. The parser reports the errors of an element before it calls
     * {@link #startElement} for it, so the element's name is taken from the message.
     */
    private String key(String message) {
        Matcher element = ELEMENT.matcher(message);
        Matcher attribute = ATTRIBUTE.matcher(message);
        String path = current == null ? "" : current.path();
        if (element.find() && !path.endsWith(element.group(1))) {
            path += (path.isEmpty() ? "" : "/") + element.group(1);
        }
        return path + (attribute.find() ? "@" + attribute.group(1) : "");
    }

    /**
     * Adds an error. The parser reports an invalid value twice: first for its type, with the clearer message, then for
     * its attribute, with the key. The two are merged into one.
     */
    private void add(ValidationError error) {
        int last = errors.size() - 1;
        if (last >= 0 && errors.get(last).hasSamePosition(error)) {
            ValidationError previous = errors.get(last);
            if (!previous.namesAttribute() && error.namesAttribute()) {
                errors.set(
                        last,
                        new ValidationError(file, previous.line(), previous.column(), error.key(), previous.message()));
                return;
            }
        }
        if (errors.size() < MAX_ERRORS) {
            errors.add(error);
        }
    }
}
