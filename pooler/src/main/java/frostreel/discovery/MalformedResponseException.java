package frostreel.discovery;

/** The agent sent something other than an HTTP response that this program accepts. */
final class MalformedResponseException extends Exception {
    MalformedResponseException(String message) {
        super(message);
    }
}
