package frostreel.wire;

/** A message or a setting that cannot be understood; the text names the field. */
public final class Malformed extends Exception {
    public Malformed(String text) {
        super(text);
    }
}
