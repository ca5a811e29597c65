package frostreel.wire;

import java.util.List;
import java.util.Map;

/**
 * A decoded JSON object whose fields are read by name, each checked for its type and range.
 *
 * @param map the fields by name; a field that is null counts as missing
 */
public record MessageFields(Map<String, Object> map) {
    /** The largest integer up to which JSON readers that use doubles represent every integer. */
    public static final long MAX_EXACT_INTEGER = 1L << 53;

    private static final double MAX_SECONDS = 1e12;
    private static final double MICROS_PER_SECOND = 1e6;

    /** Whether the field is present and not null. */
    public boolean has(String key) {
        return map.get(key) != null;
    }

    /** A string, which must be present. */
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

    /** A finite number, or {@code fallback} if the field is missing. */
    public double number(String key, double fallback) throws MalformedMessageException {
        return has(key) ? number(key) : fallback;
    }

    /** An integer from {@code min} to {@code max}, both included, which must be present. */
    public long integer(String key, long min, long max) throws MalformedMessageException {
        double number = number(key);
        if (number != Math.rint(number) || number < min || number > max) {
            throw malformed(key, "a whole number from " + min + " to " + max);
        }
        return map.get(key) instanceof Long exact ? exact : (long) number;
    }

    /** An integer from {@code min} to {@code max}, or {@code fallback} if the field is missing. */
    public long integer(String key, long min, long max, long fallback) throws MalformedMessageException {
        return has(key) ? integer(key, min, max) : fallback;
    }

    /** The value in microseconds of a field in seconds, which must be present. */
    public long microsFromSeconds(String key) throws MalformedMessageException {
        double seconds = number(key);
        if (Math.abs(seconds) > MAX_SECONDS) {
            throw malformed(key, "a time from -1e12 to 1e12 seconds");
        }
        return Math.round(seconds * MICROS_PER_SECOND);
    }

    /** The value in microseconds of a field in seconds, or {@code fallback} if the field is missing. */
    public long microsFromSeconds(String key, long fallback) throws MalformedMessageException {
        return has(key) ? microsFromSeconds(key) : fallback;
    }

    /** The value of a boolean field, false if it is missing. */
    public boolean isTrue(String key) throws MalformedMessageException {
        Object value = map.get(key);
        if (value == null || value instanceof Boolean) {
            return value == Boolean.TRUE;
        }
        throw malformed(key, "true or false");
    }

    /** A nested object, which must be present. */
    @SuppressWarnings("unchecked") // The keys of JSON objects are strings.
    public MessageFields object(String key) throws MalformedMessageException {
        if (map.get(key) instanceof Map<?, ?> object) {
            return new MessageFields((Map<String, Object>) object);
        }
        throw malformed(key, "an object");
    }

    /** A nested object, or an empty one if the field is missing. */
    public MessageFields objectOrEmpty(String key) throws MalformedMessageException {
        return has(key) ? object(key) : new MessageFields(Map.of());
    }

    /** A list, which must be present. */
    @SuppressWarnings("unchecked") // The caller checks each element.
    public List<Object> list(String key) throws MalformedMessageException {
        if (map.get(key) instanceof List<?> list) {
            return (List<Object>) list;
        }
        throw malformed(key, "a list");
    }

    /** A list, or an empty one if the field is missing. */
    public List<Object> listOrEmpty(String key) throws MalformedMessageException {
        return has(key) ? list(key) : List.of();
    }

    /** The value of the choice that the field names; the field must be present and name one of {@code choices}. */
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

    /** As {@link #oneOf(String, List)}, or {@code fallback} if the field is missing. */
    public <T> T oneOf(String key, List<NamedValue<T>> choices, T fallback) throws MalformedMessageException {
        return has(key) ? oneOf(key, choices) : fallback;
    }

    private MalformedMessageException malformed(String key, String expected) {
        return new MalformedMessageException(
                has(key) ? "field '" + key + "' is not " + expected : "field '" + key + "' is missing");
    }
}
