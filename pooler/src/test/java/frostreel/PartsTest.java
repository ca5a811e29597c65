package frostreel;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.broker.Clock;
import frostreel.broker.Deadlines;
import frostreel.broker.SlotTable;
import frostreel.config.Config;
import frostreel.config.ConfigException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;
import org.json.JSONTokener;
import org.junit.jupiter.api.Test;

/** The parts that need no sockets. */
class PartsTest {
    @Test
    void aStaleHandleFindsNothing() {
        SlotTable<String> table = new SlotTable<>(2);
        long a = table.add("a");
        table.add("b");
        assertThat(table.add("c")).isEqualTo(SlotTable.NONE);
        assertThat(table.remove(a)).isEqualTo("a");
        long again = table.add("d");
        assertThat(table.get(a)).isNull();
        assertThat(table.remove(a)).isNull();
        assertThat(table.get(again)).isEqualTo("d");
        assertThat(table.get(SlotTable.NONE)).isNull();
    }

    @Test
    void deadlinesRunInOrderAndOneFaultSparesTheRest() {
        List<Long> wakes = new ArrayList<>();
        List<String> ran = new ArrayList<>();
        Deadlines deadlines = new Deadlines(Clock.system(), wakes::add);
        deadlines.at(30, () -> ran.add("third"));
        deadlines.at(10, () -> {
            ran.add("first");
            throw new IllegalStateException("on purpose");
        });
        deadlines.cancel(deadlines.at(20, () -> ran.add("cancelled")));
        deadlines.runDue();
        assertThat(ran).containsExactly("first", "third");
        assertThat(wakes).hasSize(2);
    }

    /** With 60 servers and 80 connections, every other request opened one. */
    @Test
    void whatUsualClientsLeaveServesConnectionsToServers() throws Exception {
        for (int sockets : new int[] {128, 256, 384, 1024}) {
            Config c = Config.load(PoolerHarness.environment(PoolerHarness.configuration("127.0.0.1:1", SERVER)
                    .replace("\"sockets\":128", "\"sockets\":" + sockets)));
            int rest = sockets - 64;
            assertThat(c.maxClients() + c.maxServerConnections()).isEqualTo(rest);
            assertThat(c.maxServerConnections()).isGreaterThanOrEqualTo(rest / 4);
            assertThat(c.maxClients()).isGreaterThanOrEqualTo(c.expectedClients());
            if (sockets >= 256) {
                assertThat(c.maxClients() - c.expectedClients()).isEqualTo(rest / 4);
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

    /** The file in force, and what becomes of one that is written in its place. */
    private static void reload(String fresh) throws Exception {
        Config inForce = Config.parse(PoolerHarness.configuration("127.0.0.1:1", SERVER), Map.of());
        Config.parse(fresh, Map.of()).replacing(inForce);
    }

    @Test
    void aFileCutAnywhereIsTurnedDown() throws Exception {
        String whole = PoolerHarness.configuration("127.0.0.1:2", SERVER);
        reload(whole);
        for (int i = 0; i < whole.length(); i++) {
            String cut = whole.substring(0, i);
            assertThatThrownBy(() -> reload(cut)).as("cut at %d", i).isInstanceOf(ConfigException.class);
        }
    }

    @Test
    void aFileWithoutAKeyOfTheOneInForceIsTurnedDownWithTheKeyNamed() throws Exception {
        List<String> keys = new ArrayList<>();
        keys(new JSONObject(PoolerHarness.configuration("127.0.0.1:2", SERVER)), "", keys);
        assertThat(keys)
                .hasSizeGreaterThan(40)
                .contains("settings/classes/0/worth", "settings/caps/probes", "known/hosts/0/role");
        for (String key : keys) {
            JSONObject cut = new JSONObject(PoolerHarness.configuration("127.0.0.1:2", SERVER));
            String[] way = key.split("/");
            Object at = cut;
            for (int i = 0; i < way.length - 1; i++) {
                at = at instanceof JSONArray a ? a.get(Integer.parseInt(way[i])) : ((JSONObject) at).get(way[i]);
            }
            ((JSONObject) at).remove(way[way.length - 1]);
            assertThatThrownBy(() -> reload(cut.toString()))
                    .as(key)
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining(way[way.length - 1]);
        }
    }

    /** All keys, but those of single classes alone. */
    private static void keys(Object in, String way, List<String> keys) {
        if (in instanceof JSONObject o) {
            for (String key : o.keySet()) {
                boolean ofOneClass = way.startsWith("settings/classes/")
                        && List.of("group", "repeatWindowS", "lateWorth").contains(key);
                if (!ofOneClass) {
                    keys.add(way + key);
                    keys(o.get(key), way + key + "/", keys);
                }
            }
        } else if (in instanceof JSONArray a) {
            for (int i = 0; i < a.length(); i++) {
                keys(a.get(i), way + i + "/", keys);
            }
        }
    }

    @Test
    void aDeadlineOrANumberOfAttemptsThatIsNoNumberAboveZeroIsTurnedDown() {
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
