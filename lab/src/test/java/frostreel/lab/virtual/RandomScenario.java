package frostreel.lab.virtual;

import frostreel.lab.model.ServerParameters;
import frostreel.routing.ChainRouter;
import frostreel.routing.Router;
import frostreel.wire.MalformedMessageException;
import frostreel.wire.MessageFields;
import frostreel.wire.SettingsReader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import org.json.JSONArray;
import org.json.JSONObject;

/** A deployment as JSON: {@code settings} as the platform hands them over, a {@code fleet}, and {@code events}. */
record RandomScenario(JSONObject json) {
    /** The work of a request varies between these multiples of its class's mean. */
    private static final double MIN_WORK_SHARE = 0.7;

    private static final double MAX_WORK_SHARE = 1.3;
    private static final double INFORMED_SHARE = 2 / 3.0;

    /** Runs the scenario with its own seed. */
    Simulation play() throws MalformedMessageException {
        return play(ChainRouter::new);
    }

    /** Runs the scenario with other routers. */
    Simulation play(BiFunction<Router.Settings, Router.Actions, Router> routers) throws MalformedMessageException {
        Simulation simulation = new Simulation(plan(), routers);
        simulation.skewDemand(fleet().getDouble("uneven"));
        ScenarioFaults faults = new ScenarioFaults(simulation, fleet());
        for (Object event : json.getJSONArray("events")) {
            faults.schedule((JSONObject) event);
        }
        return simulation.run();
    }

    private JSONObject fleet() {
        return json.getJSONObject("fleet");
    }

    Router.Settings settings() throws MalformedMessageException {
        return SettingsReader.read(
                0, new MessageFields(json.getJSONObject("settings").toMap()));
    }

    private SimulationPlan plan() throws MalformedMessageException {
        JSONObject fleet = fleet();
        return new SimulationPlan(
                json.getLong("seed"),
                fleet.getInt("zones"),
                fleet.getInt("poolersPerZone"),
                fleet.getInt("groups"),
                fleet.getInt("cores"),
                fleet.getDouble("load"),
                micros(fleet, "listLagS"),
                micros(fleet, "durationS"),
                fleet.getBoolean("retries"),
                site());
    }

    private Site site() throws MalformedMessageException {
        Router.Settings settings = settings();
        JSONArray kinds = fleet().getJSONArray("kinds");
        double shares = 0;
        for (int i = 0; i < kinds.length(); i++) {
            shares += kinds.getJSONObject(i).getDouble("share");
        }
        List<SimulationPlan.RequestKind> requestKinds = new ArrayList<>();
        double meanWorkUs = 0;
        for (int i = 0; i < kinds.length(); i++) {
            double workUs = kinds.getJSONObject(i).getDouble("workMs") * 1e3;
            meanWorkUs += workUs * kinds.getJSONObject(i).getDouble("share") / shares;
            requestKinds.add(new SimulationPlan.RequestKind(
                    settings.classes().get(i),
                    kinds.getJSONObject(i).getDouble("share") / shares,
                    MIN_WORK_SHARE * workUs,
                    MAX_WORK_SHARE * workUs));
        }
        return new Site(
                requestKinds,
                settings,
                serverParameters(settings.rules(), meanWorkUs),
                reportFields(),
                fleet().getInt("members"),
                fleet().getInt("sessions"));
    }

    private ServerParameters serverParameters(Router.Rules rules, double meanWorkUs) {
        JSONObject fleet = fleet();
        boolean commitsWait =
                json.getJSONObject("settings").getJSONObject("familyInfo").optBoolean("commitWaits", true);
        return new ServerParameters(
                rules.initialCapacityShare(),
                rules.warmUpUs(),
                rules.overloadMultiple(),
                rules.overloadWindowUs(),
                micros(fleet, "logDelayS"),
                fleet.getDouble("replay"),
                fleet.getInt("queue"),
                INFORMED_SHARE,
                fleet.optBoolean("chance") ? meanWorkUs : 0,
                fleet.getBoolean("cancels"),
                commitsWait);
    }

    private Set<String> reportFields() {
        Set<String> fields = new HashSet<>();
        json.getJSONObject("settings")
                .getJSONObject("stats")
                .getJSONArray("names")
                .forEach(name -> fields.add((String) name));
        return fields;
    }

    /** A time of a key in seconds, in microseconds. */
    static long micros(JSONObject json, String key) {
        return Math.round(json.getDouble(key) * 1e6);
    }

    @Override
    public String toString() {
        return json.toString();
    }
}
