package frostreel.config;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * Checks that a reloaded configuration file has every key of the file in force: an omitted key would silently fall
 * back to a default. Lists may change in length; each object of the new list must have the keys that all objects of
 * the old list have in common.
 */
final class ReloadCompatibility {
    private ReloadCompatibility() {}

    /** Returns the first key missing in the new file, as a path from the root; empty if none is missing. */
    static Optional<String> firstMissingKey(JSONObject inForce, JSONObject replacement) {
        return missingInObject("", inForce, replacement);
    }

    private static Optional<String> missingInObject(String prefix, JSONObject inForce, JSONObject replacement) {
        for (String key : new TreeSet<>(inForce.keySet())) {
            if (replacement.isNull(key) && !inForce.isNull(key)) {
                return Optional.of(prefix + key);
            }
            Optional<String> missing = missingInValue(prefix + key, inForce.get(key), replacement.opt(key));
            if (missing.isPresent()) {
                return missing;
            }
        }
        return Optional.empty();
    }

    private static Optional<String> missingInValue(String path, Object inForce, Object replacement) {
        if (inForce instanceof JSONObject before) {
            return replacement instanceof JSONObject after
                    ? missingInObject(path + ".", before, after)
                    : Optional.of(path);
        }
        if (inForce instanceof JSONArray before) {
            return replacement instanceof JSONArray after ? missingInList(path, before, after) : Optional.of(path);
        }
        return Optional.empty();
    }

    private static Optional<String> missingInList(String path, JSONArray inForce, JSONArray replacement) {
        Set<String> shared = sharedKeys(inForce);
        for (int i = 0; i < replacement.length(); i++) {
            for (String key : shared) {
                if (!(replacement.get(i) instanceof JSONObject element) || element.isNull(key)) {
                    return Optional.of(path + "[" + i + "]." + key);
                }
            }
        }
        return Optional.empty();
    }

    /** Returns the keys that all objects of a list have in common; none if an element is not an object. */
    private static Set<String> sharedKeys(JSONArray list) {
        Set<String> shared = new TreeSet<>();
        for (int i = 0; i < list.length(); i++) {
            if (!(list.get(i) instanceof JSONObject object)) {
                return Set.of();
            }
            if (i == 0) {
                shared.addAll(object.keySet());
            } else {
                shared.retainAll(object.keySet());
            }
        }
        return shared;
    }
}
