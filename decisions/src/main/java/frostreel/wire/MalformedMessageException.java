package frostreel.wire;

/** A message or a setting that cannot be understood; the text names the field. */
public final class MalformedMessageException extends Exception {
    public MalformedMessageException(String text) {
        super(text);
    }
}
