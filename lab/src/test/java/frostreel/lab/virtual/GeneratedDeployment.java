package frostreel.lab.virtual;

import static frostreel.lab.virtual.WireFormat.seconds;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.json.JSONArray;
import org.json.JSONObject;

/** The settings and servers that a {@link WireEventGenerator} makes events for, with its clock and randomness. */
final class GeneratedDeployment {
    static final long START_US = 1_000_000_000L;
    /** Positions on the wire count from here. */
    static final long BASE_US = START_US - 5_000_000;

    final SplittableRandom random;
    final GeneratedTimeline timeline = new GeneratedTimeline(START_US);
    final List<GeneratedServer> servers = new ArrayList<>();
    final long lastArrivalUs;
    private final JSONObject settings;
    private final int groups;

    /**
     * Servers without faults.
     *
     * @param settings of a pooler, as the simulator hands them over
     * @param members of each group
     * @param durationUs for how long clients send requests
     */
    GeneratedDeployment(JSONObject settings, int groups, int members, long durationUs, long seed) {
        this.settings = new JSONObject(settings.toString());
        familyInfo().put("baseTimeS", seconds(BASE_US));
        this.groups = groups;
        random = new SplittableRandom(seed);
        lastArrivalUs = START_US + durationUs;
        for (int group = 0; group < groups; group++) {
            for (int member = 0; member < members; member++) {
                String id = "10.0." + group + "." + member + ":5432";
                servers.add(new GeneratedServer(id, group, member % zones(), member));
            }
        }
    }

    /** Whether clients and faults still begin. */
    boolean isActive() {
        return timeline.nowUs() <= lastArrivalUs;
    }

    /** A copy of the settings of all poolers. */
    JSONObject settings() {
        return new JSONObject(settings.toString());
    }

    JSONObject familyInfo() {
        return settings.getJSONObject("familyInfo");
    }

    JSONObject caps() {
        return settings.getJSONObject("caps");
    }

    /** What servers report of their load, and how. */
    JSONObject reports() {
        return settings.getJSONObject("stats");
    }

    JSONArray classes() {
        return settings.getJSONArray("classes");
    }

    /** What the requests of a class access, as the settings name it. */
    String access(int category) {
        return familyInfo().getJSONArray("freshness").getString(category);
    }

    int zones() {
        return settings.getJSONArray("zones").length();
    }

    int groups() {
        return groups;
    }

    int poolers() {
        return settings.getInt("instances");
    }

    long roundUs() {
        return WireFormat.micros(settings.getDouble("roundS"));
    }

    GeneratedServer server(String id) {
        return servers.stream()
                .filter(server -> server.id.equals(id))
                .findFirst()
                .orElseThrow();
    }
}
