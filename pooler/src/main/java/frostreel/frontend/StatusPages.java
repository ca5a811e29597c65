package frostreel.frontend;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** The status pages, which clients read with {@code SHOW name}. Used on the I/O thread. */
final class StatusPages {
    /** The maximum length of a query for a page; longer queries are not looked up. */
    private static final int MAX_QUERY_BYTES = 32;

    private final Map<String, Supplier<String>> byQuery = new HashMap<>();

    /** Adds a page that is the response to {@code SHOW name}. */
    void add(String name, Supplier<String> text) {
        byQuery.put("SHOW " + name + "\0", text);
    }

    /** Returns the page that the body of a query asks for, null if it asks for none. */
    Supplier<String> find(byte[] query) {
        return query.length > MAX_QUERY_BYTES ? null : byQuery.get(new String(query, StandardCharsets.US_ASCII));
    }
}
