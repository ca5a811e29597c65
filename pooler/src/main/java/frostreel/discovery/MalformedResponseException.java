package frostreel.discovery;

/** The agent's bytes are no HTTP response that this program accepts. */
final class MalformedResponseException extends Exception {
    MalformedResponseException(String message) {
        super(message);
    }
}
