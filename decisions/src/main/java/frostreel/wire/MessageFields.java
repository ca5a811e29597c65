package frostreel.wire;

import java.util.List;
import java.util.Map;

/** A decoded message: its fields by name, read with a check of each. */
public record MessageFields(Map<String, Object> map) {
    /** Whole numbers beyond this are not told apart by every JSON reader. */
    public static final long FAR = 1L << 53;

    public boolean has(String key) {
        return map.get(key) != null;
    }

    public String text(String key) throws MalformedMessageException {
        if (map.get(key) instanceof String s) {
            return s;
        }
        throw bad(key, "text");
    }

    public double number(String key) throws MalformedMessageException {
        if (map.get(key) instanceof Number n && Double.isFinite(n.doubleValue())) {
            return n.doubleValue();
        }
        throw bad(key, "a number");
    }

    public double number(String key, double absent) throws MalformedMessageException {
        return has(key) ? number(key) : absent;
    }

    public long whole(String key, long least, long most) throws MalformedMessageException {
        double d = number(key);
        if (d != Math.rint(d) || d < least || d > most) {
            throw bad(key, "a whole number from " + least + " to " + most);
        }
        return map.get(key) instanceof Long l ? l : (long) d;
    }

    public long whole(String key, long least, long most, long absent) throws MalformedMessageException {
        return has(key) ? whole(key, least, most) : absent;
    }

    /** A time in seconds, as microseconds. */
    public long micros(String key) throws MalformedMessageException {
        double d = number(key);
        if (Math.abs(d) > 1e12) {
            throw bad(key, "a time in range");
        }
        return Math.round(d * 1e6);
    }

    public long micros(String key, long absent) throws MalformedMessageException {
        return has(key) ? micros(key) : absent;
    }

    public boolean flag(String key) throws MalformedMessageException {
        Object v = map.get(key);
        if (v == null || v instanceof Boolean) {
            return v == Boolean.TRUE;
        }
        throw bad(key, "true or false");
    }

    @SuppressWarnings("unchecked")
    public MessageFields object(String key) throws MalformedMessageException {
        Object v = map.get(key);
        if (v instanceof Map) {
            return new MessageFields((Map<String, Object>) v);
        }
        throw bad(key, "an object");
    }

    @SuppressWarnings("unchecked")
    public List<Object> list(String key) throws MalformedMessageException {
        if (map.get(key) instanceof List<?> l) {
            return (List<Object>) l;
        }
        throw bad(key, "a list");
    }

    public int oneOf(String key, String... words) throws MalformedMessageException {
        String word = text(key);
        for (int i = 0; i < words.length; i++) {
            if (words[i].equals(word)) {
                return i;
            }
        }
        throw bad(key, "one of " + String.join(", ", words));
    }

    private MalformedMessageException bad(String key, String wanted) {
        return new MalformedMessageException(
                has(key) ? "field '" + key + "' is not " + wanted : "field '" + key + "' is missing");
    }
}
