package frostreel.discovery;

/** Thrown if the agent's response is not a valid HTTP response or not the expected one. */
final class MalformedResponseException extends Exception {
    MalformedResponseException(String message) {
        super(message);
    }
}
