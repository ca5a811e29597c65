import java.util.ArrayList;
import java.util.List;

/** The settings and the configuration of a small deployment, in the form of the wire page. */
final class Settings {
    private final List<String> classes = new ArrayList<>();
    private final List<String> freshness = new ArrayList<>();
    private final List<String> lag = new ArrayList<>();
    String serverChecks = "wait";
    String writeMarks = "carried";
    String listRole = "late";
    String reports = "piggyback";
    boolean probes = true;
    double stopSendingS = 1.0;
    int sockets = 1024;

    Settings add(String name, String repeat, double onTimeS, double deadlineS, String read, double lagS) {
        classes.add(String.format(
                "{\"deadlineS\":%s,\"group\":\"%s\",\"lateWorth\":0.3,\"name\":\"%s\",\"onTimeS\":%s,\"repeat\":\"%s\","
                        + "\"repeatWindowS\":3.0,\"streamed\":false,\"worth\":3.0}",
                deadlineS, repeat.equals("dedup") ? "cell" : "all", name, onTimeS, repeat));
        freshness.add('"' + read + '"');
        lag.add(Double.toString(lagS));
        return this;
    }

    String json() {
        return "{\"caps\":{\"cancel\":true,\"connectTimeoutS\":0.25,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":806821,"
                + "\"idleCloseS\":30.0,\"maxAttempts\":10,\"maxOpen\":32272,\"maxRetryAfterS\":2.0,\"peers\":false,"
                + "\"probes\":" + probes + ",\"retryAfter\":true,\"secondCopies\":false,\"streamsPerConn\":1},"
                + "\"classes\":[" + String.join(",", classes) + "],\"clients\":{\"marksRetry\":true},"
                + "\"family\":\"replicas\",\"familyInfo\":{\"baseTimeS\":0.0,\"commitWaits\":true,\"freshness\":["
                + String.join(",", freshness) + "],\"holdsForS\":0.05,\"lagAllowedS\":[" + String.join(",", lag)
                + "],\"listRole\":\"" + listRole + "\",\"positions\":true,\"serverChecks\":\"" + serverChecks
                + "\",\"writeMarks\":\"" + writeMarks + "\"},"
                + "\"instances\":1,\"layers\":[\"db\"],\"machineTypes\":[\"standard\"],\"me\":0,"
                + "\"membershipMode\":\"automatic\",\"overShareWorth\":0.1,\"roundS\":0.005,"
                + "\"rules\":{\"answerSlackS\":0.02,\"askWithinS\":10.0,\"coldFrom\":0.22,\"fallMultiple\":3.0,"
                + "\"fallS\":2.0,\"stopSendingWithinS\":" + stopSendingS + ",\"warmAfterS\":15.0},"
                + "\"stage\":0,\"stats\":{\"how\":\"" + reports + "\",\"names\":["
                + (reports.equals("silent") ? "" : "\"x0\",\"x1\",\"load_share\"") + "]},\"tenants\":[],"
                + "\"weights\":\"silent\",\"worthBy\":\"request\",\"zone\":0,\"zones\":[\"dc\"]}";
    }

    String config(int listenPort, int discoveryPort, String known) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + listenPort + "\",\"discovery\":\"127.0.0.1:"
                + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":128,"
                + "\"sockets\":" + sockets + "},\"known\":" + known + ",\"settings\":" + json() + "}";
    }
}
