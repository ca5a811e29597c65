package frostreel.config;

import java.util.Set;
import java.util.TreeSet;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * Whether a file that was written anew is whole: what the file in force states it must state too, as a value
 * left out would get a default that nobody chose. Lists may change in length; of the objects in one, each has
 * to state what all of the old list's did.
 */
final class ReloadCompatibility {
    private ReloadCompatibility() {}

    /** The first key that is missing, with its way there; null where none is. */
    static String missing(JSONObject before, JSONObject now) {
        return missing("", before, now);
    }

    private static String missing(String way, JSONObject before, JSONObject now) {
        for (String key : new TreeSet<>(before.keySet())) {
            if (now.isNull(key) && !before.isNull(key)) {
                return way + key;
            }
            String deeper = null;
            if (before.get(key) instanceof JSONObject a) {
                deeper = now.get(key) instanceof JSONObject b ? missing(way + key + ".", a, b) : way + key;
            } else if (before.get(key) instanceof JSONArray a) {
                deeper = now.get(key) instanceof JSONArray b ? missing(way + key, a, b) : way + key;
            }
            if (deeper != null) {
                return deeper;
            }
        }
        return null;
    }

    private static String missing(String way, JSONArray before, JSONArray now) {
        Set<String> common = null;
        for (Object each : before) {
            if (!(each instanceof JSONObject o)) {
                return null;
            }
            if (common == null) {
                common = new TreeSet<>(o.keySet());
            }
            common.retainAll(o.keySet());
        }
        for (int i = 0; common != null && i < now.length(); i++) {
            for (String key : common) {
                if (!(now.get(i) instanceof JSONObject o) || o.isNull(key)) {
                    return way + "[" + i + "]." + key;
                }
            }
        }
        return null;
    }
}
