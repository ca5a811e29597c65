package frostreel.wire;

/**
 * A value together with the name that messages give it.
 *
 * @param name as it is written on the wire
 * @param value what the name stands for
 */
public record NamedValue<T>(String name, T value) {
    /** A value under its name; reads better than a constructor in a list of several. */
    public static <T> NamedValue<T> named(String name, T value) {
        return new NamedValue<>(name, value);
    }
}
