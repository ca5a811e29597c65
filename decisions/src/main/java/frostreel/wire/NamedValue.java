package frostreel.wire;

/**
 * A value and its name in messages.
 *
 * @param name the name on the wire
 * @param value the value that the name stands for
 */
public record NamedValue<T>(String name, T value) {
    /** Creates a named value; shorter than the constructor in a list of several. */
    public static <T> NamedValue<T> named(String name, T value) {
        return new NamedValue<>(name, value);
    }
}
