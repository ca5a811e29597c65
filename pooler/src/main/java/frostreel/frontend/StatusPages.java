package frostreel.frontend;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** The pages that clients read by {@code SHOW name}. Used on the I/O thread. */
final class StatusPages {
    /** The longest query for a page; a longer one is not looked up. */
    private static final int MAX_QUERY_BYTES = 32;

    private final Map<String, Supplier<String>> byQuery = new HashMap<>();

    /** Adds the page that {@code SHOW} with this name responds with. */
    void add(String name, Supplier<String> text) {
        byQuery.put("SHOW " + name + "\0", text);
    }

    /** The page that the body of a query asks for, null where it asks for none. */
    Supplier<String> find(byte[] query) {
        return query.length > MAX_QUERY_BYTES ? null : byQuery.get(new String(query, StandardCharsets.US_ASCII));
    }
}
