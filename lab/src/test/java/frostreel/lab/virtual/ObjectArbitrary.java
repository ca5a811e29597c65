package frostreel.lab.virtual;

import java.util.LinkedHashMap;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.RandomDistribution;
import org.json.JSONObject;

/** Generates JSON objects from a generator for each of their values, which shrink independently. */
final class ObjectArbitrary {
    private final Map<String, Arbitrary<?>> values = new LinkedHashMap<>();

    ObjectArbitrary with(String key, Arbitrary<?> value) {
        values.put(key, value);
        return this;
    }

    ObjectArbitrary with(String key, double min, double max) {
        return with(
                key, Arbitraries.doubles().between(min, max).ofScale(3).withDistribution(RandomDistribution.uniform()));
    }

    ObjectArbitrary with(String key, int min, int max) {
        return with(key, Arbitraries.integers().between(min, max).withDistribution(RandomDistribution.uniform()));
    }

    ObjectArbitrary oneOf(String key, Object... options) {
        return with(key, Arbitraries.of(options));
    }

    ObjectArbitrary flag(String key) {
        return oneOf(key, false, true);
    }

    Arbitrary<JSONObject> build() {
        Arbitrary<JSONObject> all = Arbitraries.create(JSONObject::new);
        for (Map.Entry<String, Arbitrary<?>> each : values.entrySet()) {
            all = Combinators.combine(all, each.getValue())
                    .as((object, value) -> copy(object).put(each.getKey(), value));
        }
        return all;
    }

    /** A shallow copy, as objects that were drawn must not change. */
    static JSONObject copy(JSONObject original) {
        JSONObject copy = new JSONObject();
        original.keySet().forEach(key -> copy.put(key, original.get(key)));
        return copy;
    }
}
