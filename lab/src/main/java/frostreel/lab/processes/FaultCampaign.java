package frostreel.lab.processes;

import frostreel.lab.report.Tables;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Plays each fault of the system at each phase of a pooler process, one after another. A case passes if the pooler
 * restarts in time and the fleet serves as before within seconds of the fault's end.
 */
public final class FaultCampaign {
    /** When a fault begins: right before a restart, under load, or right before SIGTERM. */
    enum Phase {
        START,
        LOAD,
        END
    }

    /** One fault of the system or of a remote party; its {@code xml} lacks the pooler and the times. */
    record Kind(String name, String xml) {}

    /** The size of the fleet: poolers, and replica groups of three servers. */
    public record Size(int poolers, int groups) {}

    private static final List<String> COLUMNS = List.of("fault", "phase", "seconds", "verdict", "details");
    private static final double BEGINS_S = 2;
    /** How soon after the end of a fault the fleet has to serve as before. */
    private static final int RECOVERY_S = 3;

    /** For how long the service after the recovery is measured. */
    private static final int MEASURED_S = 3;
    /** How long a restart may take beyond the fault itself. */
    private static final int START_S = 8;

    private static final List<Kind> KINDS = List.of(
            system("accept-enfile", "ACCEPT", "ENFILE"),
            system("accept-enobufs", "ACCEPT", "ENOBUFS"),
            system("accept-econnaborted", "ACCEPT", "ECONNABORTED"),
            system("socket-enfile", "SOCKET", "ENFILE"),
            system("socket-enobufs", "SOCKET", "ENOBUFS"),
            system("connect-eaddrnotavail", "CONNECT", "EADDRNOTAVAIL"),
            system("connect-enetunreach", "CONNECT", "ENETUNREACH"),
            system("wait-eintr", "WAIT", "EINTR"),
            system("receive-short", "RECEIVE", "SHORT"),
            system("send-short", "SEND", "SHORT"),
            system("receive-etimedout", "RECEIVE", "ETIMEDOUT"),
            system("send-ehostunreach", "SEND", "EHOSTUNREACH"),
            system("files-enospc", "FILES", "ENOSPC"),
            system("files-eio", "FILES", "EIO"),
            spanning("resolve-silent", "RESOLVE", 10_000, false),
            spanning("log-stuck", "LOG", 1_000, false),
            spanning("clock-hour-ahead", "WALL_CLOCK", 3_600_000, false),
            spanning("clock-hour-back", "WALL_CLOCK", 3_600_000, true),
            spanning("clock-two-seconds-back", "WALL_CLOCK", 2_000, true),
            new Kind("discovery-slow", "<delay to=\"discovery\" ms=\"1200\""),
            new Kind("discovery-crowded", "<slow to=\"discovery\" bytesPerS=\"2000\""),
            new Kind("discovery-gone", "<cut to=\"discovery\""));
    private final Size size;
    private final PrintWriter out;

    /** {@code out}: takes a line for each case. */
    public FaultCampaign(Size size, PrintWriter out) {
        this.size = size;
        this.out = out;
    }

    private static Kind system(String name, String call, String error) {
        return new Kind(name, "<system call=\"" + call + "\" error=\"" + error + "\"");
    }

    private static Kind spanning(String name, String call, long durationMs, boolean back) {
        return new Kind(name, "<system call=\"" + call + "\" spanMs=\"" + durationMs + "\" back=\"" + back + "\"");
    }

    /**
     * Plays all cases whose name begins with {@code only}, and returns whether all pass.
     *
     * @param seconds how long faults last, 0 for a single call that fails
     * @param jar the built program
     * @param folder takes the results of each case and a table of all
     */
    public boolean run(List<Integer> seconds, String only, Path jar, Path folder) throws Exception {
        Files.createDirectories(folder);
        List<List<String>> rows = new ArrayList<>();
        boolean good = true;
        for (int faultS : seconds) {
            for (Kind kind : KINDS) {
                for (Phase phase : Phase.values()) {
                    String name = kind.name() + "-" + phase.name().toLowerCase(Locale.ROOT) + "-" + faultS;
                    boolean playable = faultS > 0 || kind.xml().startsWith("<system");
                    if (playable && name.startsWith(only)) {
                        good &= play(kind, phase, faultS, name, jar, folder, rows);
                    }
                }
            }
        }
        Files.writeString(folder.resolve("campaign.csv"), Tables.csv(COLUMNS, rows));
        return good;
    }

    private boolean play(
            Kind kind, Phase phase, int faultS, String name, Path jar, Path folder, List<List<String>> rows)
            throws Exception {
        Path file = Files.writeString(folder.resolve(name + ".xml"), experiment(kind, phase, faultS));
        StringWriter output = new StringWriter();
        boolean good = new ProcessExperimentRunner(new PrintWriter(output), false)
                .run(ProcessExperiment.read(file), 1, jar, folder.resolve(name));
        String failed = output.toString()
                .lines()
                .filter(line -> line.startsWith("fail:"))
                .collect(Collectors.joining("; "));
        out.println((good ? "pass: " : "FAIL: ") + name + (good ? "" : " " + failed));
        out.flush();
        rows.add(List.of(kind.name(), phase.name(), Integer.toString(faultS), good ? "pass" : "fail", failed));
        return good;
    }

    /** The fault hits pooler 0; a second fault brings the pooler into the phase. */
    private String experiment(Kind kind, Phase phase, int faultS) {
        boolean once = faultS == 0;
        double untilS = BEGINS_S + Math.max(faultS, 1);
        int recoveredS = (int) Math.ceil(untilS) + RECOVERY_S + (phase == Phase.LOAD ? 0 : START_S / 2);
        String fault = kind.xml() + " pooler=\"0\" atS=\"" + BEGINS_S + "\" untilS=\"" + untilS + "\""
                + (once ? " times=\"1\"" : "") + "/>";
        String phaseFault = switch (phase) {
            case START -> "<kill pooler=\"0\" atS=\"" + (BEGINS_S - 0.2) + "\" awayS=\"0.3\"/>";
            case LOAD -> "<reset pooler=\"0\" to=\"clients\" atS=\"" + (BEGINS_S + 0.1) + "\"/>";
            case END -> "<stop pooler=\"0\" atS=\"" + (BEGINS_S + 0.1) + "\"/>";
        };
        return """
                <processes xmlns="urn:frostreel:processes:1" name="campaign" durationS="%d">
                <fleet poolers="%d" groups="%d" operated="true"/><clients perSecond="%d"/>
                <faults>%s%s</faults>
                <checks><rules slackMs="20000"/><slowestStartS atMost="%d"/><blind atMost="0"/>
                <faultsInLogs atMost="0"/><worth fromS="%d" toS="%d" atLeast="0.9"/></checks></processes>""".formatted(
                        recoveredS + MEASURED_S,
                        size.poolers(),
                        size.groups(),
                        40 * Math.min(size.poolers(), 12),
                        fault,
                        phaseFault,
                        faultS + START_S,
                        recoveredS,
                        recoveredS + MEASURED_S);
    }
}
