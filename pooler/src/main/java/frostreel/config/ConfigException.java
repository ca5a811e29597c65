package frostreel.config;

/** The environment or the configuration file is invalid; the message names the offending key. */
public final class ConfigException extends Exception {
    ConfigException(String message) {
        super(message);
    }
}
