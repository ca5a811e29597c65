package frostreel.operation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Values of a setting that were in force earlier, with the time at which each was last replaced. Clients may follow a
 * value for some time after that, and several replacements may fall into that time. Times are microseconds that never
 * decrease from one call of {@link #supersede} to the next. Not thread-safe.
 *
 * @param <T> the type of the values, which are compared by {@code equals}
 */
final class SupersededValues<T> {
    /** The time of replacement of each value, in the order of these times. */
    private final Map<T, Long> supersededAtUs = new LinkedHashMap<>();

    private long latestUs = Long.MIN_VALUE;

    /** Records that a value that was in force was replaced now. */
    void supersede(T value, long nowUs) {
        supersededAtUs.remove(value); // Moves a value that was in force before to the end.
        supersededAtUs.put(value, nowUs);
        latestUs = nowUs;
    }

    /** Whether any value was replaced after this time. */
    boolean anyAfter(long us) {
        return latestUs > us;
    }

    /** Returns the values that were replaced after this time, ordered by the time of their replacement. */
    List<T> after(long us) {
        List<T> values = new ArrayList<>();
        supersededAtUs.forEach((value, atUs) -> {
            if (atUs > us) {
                values.add(value);
            }
        });
        return values;
    }

    /** Returns all values that are not forgotten, ordered by the time of their replacement. */
    List<T> all() {
        return List.copyOf(supersededAtUs.keySet());
    }

    /** Forgets the values that were replaced at this time or before. */
    void forgetUntil(long us) {
        supersededAtUs.values().removeIf(atUs -> atUs <= us);
    }
}
