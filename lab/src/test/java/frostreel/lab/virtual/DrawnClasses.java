package frostreel.lab.virtual;

import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;

/** The request classes of one deployment as the platform hands them over, with their load on servers. */
final class DrawnClasses {
    private static final double MAX_WORK_S = 0.7;

    final JSONArray classes = new JSONArray();
    final JSONArray kinds = new JSONArray();
    final JSONArray freshness = new JSONArray();
    final JSONArray bounds = new JSONArray();
    private double shares;
    /** Of all classes, each times its share. */
    private double workS;

    private double longestS;

    DrawnClasses(List<JSONObject> drawn) {
        drawn.forEach(this::add);
    }

    private void add(JSONObject drawn) {
        double deadlineS = drawn.getDouble("deadlineS");
        double objectiveS = deadlineS * drawn.getDouble("aimShare");
        double meanWorkS = Math.min(MAX_WORK_S, objectiveS / drawn.getDouble("aims"));
        boolean keyed = drawn.getString("repeat").equals("dedup");
        boolean bounded = drawn.getString("access").equals("bounded");
        classes.put(new JSONObject()
                .put("name", "c" + classes.length())
                .put("deadlineS", deadlineS)
                .put("onTimeS", objectiveS)
                .put("worth", drawn.getDouble("worth"))
                .put("lateWorth", drawn.getDouble("lateWorth"))
                .put("repeat", drawn.getString("repeat"))
                .put("group", keyed ? drawn.getString("group") : "all")
                .put("repeatWindowS", drawn.getDouble("repeatWindowS")));
        freshness.put(drawn.getString("access"));
        bounds.put(bounded ? drawn.getDouble("boundS") : 0);
        kinds.put(new JSONObject().put("share", drawn.getInt("share")).put("workMs", meanWorkS * 1e3));
        shares += drawn.getInt("share");
        workS += drawn.getInt("share") * meanWorkS;
        longestS = Math.max(longestS, meanWorkS);
    }

    /** The CPU time, in seconds, of so many requests with the classes' shares. */
    double workS(double requests) {
        return requests * workS / shares;
    }

    /**
     * The cores that a cold server needs so that its limit holds two requests of any class, and eight of mean
     * work.
     */
    int coresNeededCold(JSONObject rules) {
        double cold = rules.getDouble("coldFrom") * rules.getDouble("fallMultiple") * rules.getDouble("fallS");
        return (int) Math.ceil(Math.max(2 * 1.3 * longestS, workS(8)) / cold);
    }
}
