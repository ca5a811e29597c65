package frostreel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.config.Config;
import frostreel.config.ConfigException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;
import org.json.JSONTokener;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Reads, validates and reloads configurations. */
class ConfigTest {
    private static final String SERVER = "{\"host\":\"a\",\"dial\":\"127.0.0.1:9\",\"site\":\"dc\","
            + "\"class\":\"m\",\"block\":2,\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0,"
            + "\"role\":\"primary\"}";

    private static String configuration() {
        return PoolerHarness.configuration("127.0.0.1:1", SERVER);
    }

    private static Config load(String text) throws Exception {
        return Config.load(PoolerHarness.environment(text));
    }

    /** Validates a configuration as a reload of {@link #configuration}. */
    private static void reload(String replacement) throws Exception {
        Config inForce = Config.parse(configuration(), Map.of());
        Config.parse(replacement, Map.of()).requireKeysOf(inForce);
    }

    /** With too few descriptors for servers, every other request would have to open a connection. */
    @ParameterizedTest
    @ValueSource(ints = {128, 256, 384, 1024})
    void sharesDescriptorsBetweenClientsAndServers(int descriptors) throws Exception {
        Config config = load(configuration().replace("\"sockets\":128", "\"sockets\":" + descriptors));

        int available = descriptors - 64;
        assertThat(config.maxClients() + config.maxServerConnections()).isEqualTo(available);
        assertThat(config.maxServerConnections()).isGreaterThanOrEqualTo(available / 4);
        assertThat(config.maxClients()).isGreaterThanOrEqualTo(config.expectedClients());
        if (descriptors >= 256) {
            assertThat(config.maxClients() - config.expectedClients()).isEqualTo(available / 4);
        }
    }

    @Test
    void reportsThatGwConfigIsNotSet() {
        assertThatThrownBy(() -> Config.load(Map.of()))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("GW_CONFIG");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "listen | \"127.0.0.1\" | listen",
                "discovery | \"a.name.to.look.up:8500\" | discovery",
                "seed | \"xyz\" | seed",
                "settings | {\"classes\":[]} | familyInfo",
                "known | {\"seq\":1,\"hosts\":[{\"host\":\"a\",\"health\":\"Odd\"}]} | health"
            })
    void namesTheKeyOfAnInvalidValue(String key, String value, String namedKey) {
        String invalid = new JSONObject(configuration())
                .put(key, new JSONTokener(value).nextValue())
                .toString();

        assertThatThrownBy(() -> load(invalid))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining(namedKey);
    }

    /** Returns {@link #configuration} with another discovery agent. */
    private static String changedConfiguration() {
        return PoolerHarness.configuration("127.0.0.1:2", SERVER);
    }

    @Test
    void rejectsAConfigurationTruncatedAnywhere() throws Exception {
        String complete = changedConfiguration();
        reload(complete);
        for (int i = 0; i < complete.length(); i++) {
            String truncated = complete.substring(0, i);
            assertThatThrownBy(() -> reload(truncated)).as("truncated at %d", i).isInstanceOf(ConfigException.class);
        }
    }

    @Test
    void namesTheKeyInForceThatAReloadLacks() throws Exception {
        List<String> keys = new ArrayList<>();
        collectKeys(new JSONObject(changedConfiguration()), "", keys);
        assertThat(keys)
                .hasSizeGreaterThan(40)
                .contains("settings/classes/0/worth", "settings/caps/probes", "known/hosts/0/role");
        for (String key : keys) {
            String withoutKey = without(key, new JSONObject(changedConfiguration()));
            assertThatThrownBy(() -> reload(withoutKey))
                    .as(key)
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining(key.substring(key.lastIndexOf('/') + 1));
        }
    }

    /** Removes the key at a path of keys and indices, and returns the configuration as text. */
    private static String without(String path, JSONObject configuration) {
        String[] steps = path.split("/");
        Object parent = configuration;
        for (int i = 0; i < steps.length - 1; i++) {
            parent = parent instanceof JSONArray array
                    ? array.get(Integer.parseInt(steps[i]))
                    : ((JSONObject) parent).get(steps[i]);
        }
        ((JSONObject) parent).remove(steps[steps.length - 1]);
        return configuration.toString();
    }

    /** Collects the paths of all keys, except for keys that only some request classes have. */
    private static void collectKeys(Object value, String prefix, List<String> keys) {
        if (value instanceof JSONObject object) {
            for (String key : object.keySet()) {
                boolean ofOneClass = prefix.startsWith("settings/classes/")
                        && List.of("group", "repeatWindowS", "lateWorth").contains(key);
                if (!ofOneClass) {
                    keys.add(prefix + key);
                    collectKeys(object.get(key), prefix + key + "/", keys);
                }
            }
        } else if (value instanceof JSONArray array) {
            for (int i = 0; i < array.length(); i++) {
                collectKeys(array.get(i), prefix + i + "/", keys);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "-5", "\"ten\"", "\"\"", "null", "true", "{}", "[]", "NaN"})
    void rejectsDeadlinesAndAttemptsThatAreNotPositiveNumbers(String value) {
        assertRejected("\"deadlineS\":10", "deadlineS", value);
        assertRejected("\"maxAttempts\":4", "maxAttempts", value);
    }

    private static void assertRejected(String entry, String key, String value) {
        String invalid = changedConfiguration().replaceFirst(entry, "\"" + key + "\":" + value);
        assertThatThrownBy(() -> reload(invalid))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining(key);
    }
}
