package frostreel.wire;

/** A message or a setting that cannot be understood; its text names the offending field. */
public final class MalformedMessageException extends Exception {
    /** Describes the fault; {@code text} is shown to operators as it is. */
    public MalformedMessageException(String text) {
        super(text);
    }
}
