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

/** Reading, checking and reloading the configuration. */
class ConfigTest {
    /** With too few descriptors for servers, every other request has to open a connection. */
    @Test
    void descriptorsAreSharedBetweenClientsAndServers() throws Exception {
        for (int sockets : new int[] {128, 256, 384, 1024}) {
            Config config = Config.load(PoolerHarness.environment(PoolerHarness.configuration("127.0.0.1:1", SERVER)
                    .replace("\"sockets\":128", "\"sockets\":" + sockets)));
            int rest = sockets - 64;
            assertThat(config.maxClients() + config.maxServerConnections()).isEqualTo(rest);
            assertThat(config.maxServerConnections()).isGreaterThanOrEqualTo(rest / 4);
            assertThat(config.maxClients()).isGreaterThanOrEqualTo(config.expectedClients());
            if (sockets >= 256) {
                assertThat(config.maxClients() - config.expectedClients()).isEqualTo(rest / 4);
            }
        }
    }

    @Test
    void configurationErrorsNameTheKey() throws Exception {
        assertThatThrownBy(() -> Config.load(Map.of()))
                .isInstanceOf(ConfigException.class)
                .hasMessageContaining("GW_CONFIG");
        Map<String, String> faults = Map.of(
                "listen",
                "\"127.0.0.1\"",
                "discovery",
                "\"a.name.to.look.up:8500\"",
                "seed",
                "\"xyz\"",
                "settings",
                "{\"classes\":[]}",
                "known",
                "{\"seq\":1,\"hosts\":[{\"host\":\"a\",\"health\":\"Odd\"}]}");
        for (Map.Entry<String, String> bad : faults.entrySet()) {
            String faulty = new JSONObject(PoolerHarness.configuration("127.0.0.1:1", SERVER))
                    .put(bad.getKey(), new JSONTokener(bad.getValue()).nextValue())
                    .toString();
            assertThatThrownBy(() -> Config.load(PoolerHarness.environment(faulty)))
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining(
                            bad.getKey().equals("settings")
                                    ? "familyInfo"
                                    : bad.getKey().equals("known") ? "health" : bad.getKey());
        }
    }

    private static final String SERVER = "{\"host\":\"a\",\"dial\":\"127.0.0.1:9\",\"site\":\"dc\","
            + "\"class\":\"m\",\"block\":2,\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0,"
            + "\"role\":\"primary\"}";

    /** Reloads a configuration in place of the one in force. */
    private static void reload(String fresh) throws Exception {
        Config inForce = Config.parse(PoolerHarness.configuration("127.0.0.1:1", SERVER), Map.of());
        Config.parse(fresh, Map.of()).replacing(inForce);
    }

    @Test
    void configurationTruncatedAnywhereIsRejected() throws Exception {
        String whole = PoolerHarness.configuration("127.0.0.1:2", SERVER);
        reload(whole);
        for (int i = 0; i < whole.length(); i++) {
            String cut = whole.substring(0, i);
            assertThatThrownBy(() -> reload(cut)).as("cut at %d", i).isInstanceOf(ConfigException.class);
        }
    }

    @Test
    void reloadWithoutAKeyInForceIsRejectedNamingIt() throws Exception {
        List<String> keys = new ArrayList<>();
        keys(new JSONObject(PoolerHarness.configuration("127.0.0.1:2", SERVER)), "", keys);
        assertThat(keys)
                .hasSizeGreaterThan(40)
                .contains("settings/classes/0/worth", "settings/caps/probes", "known/hosts/0/role");
        for (String key : keys) {
            JSONObject cut = new JSONObject(PoolerHarness.configuration("127.0.0.1:2", SERVER));
            String[] way = key.split("/");
            Object parent = cut;
            for (int i = 0; i < way.length - 1; i++) {
                parent = parent instanceof JSONArray array
                        ? array.get(Integer.parseInt(way[i]))
                        : ((JSONObject) parent).get(way[i]);
            }
            ((JSONObject) parent).remove(way[way.length - 1]);
            assertThatThrownBy(() -> reload(cut.toString()))
                    .as(key)
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining(way[way.length - 1]);
        }
    }

    /** Collects all keys but those that only some request classes have. */
    private static void keys(Object value, String way, List<String> keys) {
        if (value instanceof JSONObject object) {
            for (String key : object.keySet()) {
                boolean ofOneClass = way.startsWith("settings/classes/")
                        && List.of("group", "repeatWindowS", "lateWorth").contains(key);
                if (!ofOneClass) {
                    keys.add(way + key);
                    keys(object.get(key), way + key + "/", keys);
                }
            }
        } else if (value instanceof JSONArray array) {
            for (int i = 0; i < array.length(); i++) {
                keys(array.get(i), way + i + "/", keys);
            }
        }
    }

    @Test
    void nonPositiveDeadlinesAndAttemptsAreRejected() {
        String whole = PoolerHarness.configuration("127.0.0.1:2", SERVER);
        for (String wrong : List.of("0", "-5", "\"ten\"", "\"\"", "null", "true", "{}", "[]", "NaN")) {
            assertThatThrownBy(() -> reload(whole.replaceFirst("\"deadlineS\":10", "\"deadlineS\":" + wrong)))
                    .as(wrong)
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining("deadlineS");
            assertThatThrownBy(() -> reload(whole.replace("\"maxAttempts\":4", "\"maxAttempts\":" + wrong)))
                    .as(wrong)
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining("maxAttempts");
        }
    }
}
