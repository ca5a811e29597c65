package frostreel.wire;

import java.util.List;
import java.util.Map;

/**
 * A decoded JSON object whose fields are read by name, each checked for its type and range.
 *
 * @param map the fields by name; a field that is null counts as absent
 */
public record MessageFields(Map<String, Object> map) {
    /** Whole numbers beyond 2^53 are not told apart by every JSON reader. */
    public static final long MAX_EXACT_INTEGER = 1L << 53;

    private static final double MAX_SECONDS = 1e12;
    private static final double MICROS_PER_SECOND = 1e6;

    /** Whether the field is present and not null. */
    public boolean has(String key) {
        return map.get(key) != null;
    }

    /** A text, which must be present. */
    public String text(String key) throws MalformedMessageException {
        if (map.get(key) instanceof String text) {
            return text;
        }
        throw malformed(key, "text");
    }

    /** A finite number, which must be present. */
    public double number(String key) throws MalformedMessageException {
        if (map.get(key) instanceof Number number && Double.isFinite(number.doubleValue())) {
            return number.doubleValue();
        }
        throw malformed(key, "a number");
    }

    /** A finite number, or {@code absent} where the field is missing. */
    public double number(String key, double absent) throws MalformedMessageException {
        return has(key) ? number(key) : absent;
    }

    /** A whole number from {@code least} to {@code most}, both included, which must be present. */
    public long whole(String key, long least, long most) throws MalformedMessageException {
        double number = number(key);
        if (number != Math.rint(number) || number < least || number > most) {
            throw malformed(key, "a whole number from " + least + " to " + most);
        }
        return map.get(key) instanceof Long exact ? exact : (long) number;
    }

    /** A whole number from {@code least} to {@code most}, or {@code absent} where the field is missing. */
    public long whole(String key, long least, long most, long absent) throws MalformedMessageException {
        return has(key) ? whole(key, least, most) : absent;
    }

    /** A time that is written in seconds, as microseconds. */
    public long micros(String key) throws MalformedMessageException {
        double seconds = number(key);
        if (Math.abs(seconds) > MAX_SECONDS) {
            throw malformed(key, "a time in range");
        }
        return Math.round(seconds * MICROS_PER_SECOND);
    }

    /** A time that is written in seconds, as microseconds, or {@code absent} where the field is missing. */
    public long micros(String key, long absent) throws MalformedMessageException {
        return has(key) ? micros(key) : absent;
    }

    /** A boolean; false where the field is missing. */
    public boolean flag(String key) throws MalformedMessageException {
        Object value = map.get(key);
        if (value == null || value instanceof Boolean) {
            return value == Boolean.TRUE;
        }
        throw malformed(key, "true or false");
    }

    /** A nested object, which must be present. */
    @SuppressWarnings("unchecked") // JSON objects have text keys only.
    public MessageFields object(String key) throws MalformedMessageException {
        if (map.get(key) instanceof Map<?, ?> object) {
            return new MessageFields((Map<String, Object>) object);
        }
        throw malformed(key, "an object");
    }

    /** A nested object; one without fields where the field is missing. */
    public MessageFields objectOrEmpty(String key) throws MalformedMessageException {
        return has(key) ? object(key) : new MessageFields(Map.of());
    }

    /** A list, which must be present. */
    @SuppressWarnings("unchecked") // Each element is checked by who reads it.
    public List<Object> list(String key) throws MalformedMessageException {
        if (map.get(key) instanceof List<?> list) {
            return (List<Object>) list;
        }
        throw malformed(key, "a list");
    }

    /** A list; an empty one where the field is missing. */
    public List<Object> listOrEmpty(String key) throws MalformedMessageException {
        return has(key) ? list(key) : List.of();
    }

    /** The value whose name the field holds; it must be present and one of {@code choices}. */
    public <T> T oneOf(String key, List<NamedValue<T>> choices) throws MalformedMessageException {
        String name = text(key);
        for (NamedValue<T> choice : choices) {
            if (choice.name().equals(name)) {
                return choice.value();
            }
        }
        throw malformed(
                key,
                "one of "
                        + String.join(
                                ", ", choices.stream().map(NamedValue::name).toList()));
    }

    /** As {@link #oneOf(String, List)}, or {@code absent} where the field is missing. */
    public <T> T oneOf(String key, List<NamedValue<T>> choices, T absent) throws MalformedMessageException {
        return has(key) ? oneOf(key, choices) : absent;
    }

    private MalformedMessageException malformed(String key, String expected) {
        return new MalformedMessageException(
                has(key) ? "field '" + key + "' is not " + expected : "field '" + key + "' is missing");
    }
}
