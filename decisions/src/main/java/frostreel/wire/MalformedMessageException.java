package frostreel.wire;

/** Thrown for a message or a setting that is missing, of the wrong type or out of range; its text names the field. */
public final class MalformedMessageException extends Exception {
    /** {@code text}: a description of the error, shown to operators as it is. */
    public MalformedMessageException(String text) {
        super(text);
    }
}
