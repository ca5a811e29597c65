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
    static String firstMissingKey(JSONObject inForce, JSONObject replacement) {
        return firstMissingKey("", inForce, replacement);
    }

    private static String firstMissingKey(String path, JSONObject inForce, JSONObject replacement) {
        for (String key : new TreeSet<>(inForce.keySet())) {
            if (replacement.isNull(key) && !inForce.isNull(key)) {
                return path + key;
            }
            String missing = null;
            if (inForce.get(key) instanceof JSONObject a) {
                missing = replacement.get(key) instanceof JSONObject b ? firstMissingKey(path + key + ".", a, b) : path + key;
            } else if (inForce.get(key) instanceof JSONArray a) {
                missing = replacement.get(key) instanceof JSONArray b ? firstMissingKey(path + key, a, b) : path + key;
            }
            if (missing != null) {
                return missing;
            }
        }
        return null;
    }

    private static String firstMissingKey(String path, JSONArray inForce, JSONArray replacement) {
        Set<String> shared = null;
        for (Object element : inForce) {
            if (!(element instanceof JSONObject o)) {
                return null;
            }
            if (shared == null) {
                shared = new TreeSet<>(o.keySet());
            }
            shared.retainAll(o.keySet());
        }
        for (int i = 0; shared != null && i < replacement.length(); i++) {
            for (String key : shared) {
                if (!(replacement.get(i) instanceof JSONObject o) || o.isNull(key)) {
                    return path + "[" + i + "]." + key;
                }
            }
        }
        return null;
    }
}
