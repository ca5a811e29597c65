package frostreel.settings;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import javax.xml.XMLConstants;
import javax.xml.parsers.ParserConfigurationException;
import javax.xml.parsers.SAXParser;
import javax.xml.parsers.SAXParserFactory;
import javax.xml.validation.SchemaFactory;
import org.xml.sax.InputSource;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;

/**
 * Reads an XML file and validates it against a schema in one pass. Document type declarations and external entities
 * are rejected and the size is limited, so that a malicious file costs no more than a valid one.
 */
public final class XmlFile {
    /** The size limit of a file. */
    public static final int MAX_BYTES = 1 << 20;

    private XmlFile() {}

    /**
     * Reads a file. Blocks.
     *
     * @return the root element
     * @throws InvalidFileException with at most {@value XmlElementHandler#MAX_ERRORS} validation errors
     */
    public static XmlElement read(Path file, URL schema) throws InvalidFileException {
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

    private static InvalidFileException unreadable(String file, String text) {
        return new InvalidFileException(List.of(ValidationError.forWholeFile(file, text)));
    }

    private static XmlElement parse(String name, byte[] bytes, URL schema) throws InvalidFileException {
        XmlElementHandler handler = new XmlElementHandler(name);
        try {
            parser(schema).parse(new InputSource(new ByteArrayInputStream(bytes)), handler);
        } catch (SAXParseException e) {
            handler.error(e); // Not well-formed: the rest of the file cannot be parsed.
        } catch (SAXException | ParserConfigurationException | IOException e) {
            throw new IllegalStateException("cannot validate against schema " + schema, e);
        }
        if (!handler.errors().isEmpty()) {
            throw new InvalidFileException(handler.errors());
        }
        return handler.root();
    }

    private static SAXParser parser(URL schema) throws SAXException, ParserConfigurationException {
        SchemaFactory schemas = SchemaFactory.newInstance(XMLConstants.W3C_XML_SCHEMA_NS_URI);
        SAXParserFactory parsers = SAXParserFactory.newInstance();
        parsers.setNamespaceAware(true);
        parsers.setSchema(schemas.newSchema(schema));
        parsers.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
        parsers.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
        SAXParser parser = parsers.newSAXParser();
        parser.setProperty("http://apache.org/xml/properties/locale", Locale.ENGLISH);
        parser.setProperty(XMLConstants.ACCESS_EXTERNAL_DTD, "");
        parser.setProperty(XMLConstants.ACCESS_EXTERNAL_SCHEMA, "");
        return parser;
    }
}
