package frostreel.settings;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.xml.XMLConstants;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.parsers.SAXParser;
import javax.xml.parsers.SAXParserFactory;
import javax.xml.validation.Schema;
import javax.xml.validation.SchemaFactory;
import org.xml.sax.Attributes;
import org.xml.sax.InputSource;
import org.xml.sax.Locator;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;
import org.xml.sax.helpers.DefaultHandler;

/**
 * Reads an XML file against its schema, in one pass. No document type and nothing from outside is read, and
 * the size is bounded, so that a hostile file costs no more than a good one.
 */
public final class XmlFile {
    /** The largest file that is read, in bytes. */
    public static final int MAX_BYTES = 1 << 20;

    private static final int MAX_FAULTS = 100;
    private static final Pattern ATTRIBUTE = Pattern.compile("ttribute '([\\w:]+)'");
    private static final Pattern ELEMENT = Pattern.compile("element '(?:\\{\"[^\"]*\":)?(\\w+)\\}?'");

    private XmlFile() {}

    /** The root element; or every fault of the file, the first {@value #MAX_FAULTS} where there are more. */
    public static XmlElement read(Path file, URL schema) throws FaultyFileException {
        String name = file.toString();
        try (InputStream in = Files.newInputStream(file)) {
            byte[] bytes = in.readNBytes(MAX_BYTES + 1);
            if (bytes.length > MAX_BYTES) {
                throw unreadable(name, "is larger than " + MAX_BYTES + " bytes");
            }
            return parse(name, bytes, schema);
        } catch (IOException e) {
            throw unreadable(name, "cannot be read");
        }
    }

    private static FaultyFileException unreadable(String file, String text) {
        return new FaultyFileException(List.of(new Fault(file, 0, 0, "", text)));
    }

    private static XmlElement parse(String name, byte[] bytes, URL schemaUrl) throws FaultyFileException {
        XmlElementHandler handler = new XmlElementHandler(name);
        try {
            SchemaFactory schemas = SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI);
            Schema schema = schemas.newSchema(schemaUrl);
            SAXParserFactory parsers = SAXParserFactory.newInstance();
            parsers.setNamespaceAware(true);
            parsers.setSchema(schema);
            parsers.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
            parsers.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
            SAXParser parser = parsers.newSAXParser();
            parser.setProperty("http://apache.org/xml/properties/locale", Locale.ENGLISH);
            parser.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
            parser.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
            parser.parse(new InputSource(new ByteArrayInputStream(bytes)), handler);
        } catch (SAXParseException e) {
            handler.error(e); // Not well-formed: what follows cannot be read.
        } catch (SAXException | ParserConfigurationException | IOException e) {
            throw new IllegalStateException("the schema " + schemaUrl + " cannot be used", e);
        }
        if (!handler.faults.isEmpty()) {
            throw new FaultyFileException(handler.faults);
        }
        return handler.root;
    }

    private static final class XmlElementHandler extends DefaultHandler {
        final List<Fault> faults = new ArrayList<>();
        private final String file;
        private XmlElement root;
        private XmlElement current;
        private Locator locator;

        XmlElementHandler(String file) {
            this.file = file;
        }

        @Override
        public void setDocumentLocator(Locator locator) {
            this.locator = locator;
        }

        @Override
        public void startElement(String uri, String local, String name, Attributes a) {
            Map<String, String> attributes = new LinkedHashMap<>();
            for (int i = 0; i < a.getLength(); i++) {
                attributes.put(a.getLocalName(i), a.getValue(i));
            }
            current = new XmlElement(current, local, attributes, locator.getLineNumber(), locator.getColumnNumber());
            root = root == null ? current : root;
        }

        @Override
        public void endElement(String uri, String local, String name) {
            current = current.parent();
        }

        @Override
        public void fatalError(SAXParseException e) throws SAXException {
            throw e;
        }

        /** The validator speaks before the element that it means has begun here: it names it in its text. */
        @Override
        public void error(SAXParseException e) {
            String text = e.getMessage().replaceFirst("^cvc-[\\w.-]+: ", "");
            Matcher element = ELEMENT.matcher(text);
            Matcher attribute = ATTRIBUTE.matcher(text);
            String path = at == null ? "" : at.path();
            if (element.find() && !path.endsWith(element.group(1))) {
                path += (path.isEmpty() ? "" : "/") + element.group(1);
            }
            String key = path + (attribute.find() ? "@" + attribute.group(1) : "");
            // One bad value is told twice, by its type and by its attribute: the second has the key.
            if (!faults.isEmpty()) {
                Fault last = faults.get(faults.size() - 1);
                boolean same = last.line() == e.getLineNumber() && last.column() == e.getColumnNumber();
                if (same && !last.key().contains("@") && key.contains("@")) {
                    faults.set(faults.size() - 1, new Fault(file, last.line(), last.column(), key, last.text()));
                    return;
                }
            }
            if (faults.size() < MAX_FAULTS) {
                faults.add(new Fault(file, e.getLineNumber(), e.getColumnNumber(), key, text));
            }
        }
    }
}
