package frostreel.settings;

import frostreel.log.Logging;
import java.net.URL;
import java.nio.file.Path;
import java.util.Locale;
import java.util.logging.Level;

/** The operators' file, read and checked whole: it is taken with all that it says, or not at all. */
public record OperatorSettings(Logging.Format logFormat, Level logLevel) {
    /** What holds where there is no file. */
    public static final OperatorSettings DEFAULT = new OperatorSettings(Logging.Format.TEXT, Level.INFO);
    /** The schema, for whoever writes such a file. */
    public static final URL SCHEMA = OperatorSettings.class.getResource("frostreel.xsd");

    public static OperatorSettings read(Path file) throws FaultyFileException {
        XmlElement root = XmlFile.read(file, SCHEMA);
        XmlElement log = root.child("log");
        return log == null ? DEFAULT : new OperatorSettings(
                Logging.Format.valueOf(log.text("format").toUpperCase(Locale.ROOT)),
                Level.parse(log.text("level").toUpperCase(Locale.ROOT)));
    }
}
