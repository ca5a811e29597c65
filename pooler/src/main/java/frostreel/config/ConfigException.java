package frostreel.config;

/** The environment or the configuration file is not usable; the text names the faulty key. */
public final class ConfigException extends Exception {
    ConfigException(String text) {
        super(text);
    }
}
