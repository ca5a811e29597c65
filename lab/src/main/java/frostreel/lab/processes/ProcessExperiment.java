package frostreel.lab.processes;

import frostreel.lab.virtual.SimulationPlan;
import frostreel.settings.Fault;
import frostreel.settings.FaultyFileException;
import frostreel.settings.XmlElement;
import frostreel.settings.XmlFile;
import java.net.URL;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/** An experiment with processes, read against its schema and checked for sense. */
public final class ProcessExperiment {
    /** A bound on what a run showed; seconds are read for worth alone. */
    record Check(String kind, int fromS, int toS, double bound) {}

    /** As the operators' file has it. */
    private static final long LEAST_SILENT_MS = 500;

    private static final long MOST_SILENT_MS = 60_000;
    private static final URL SCHEMA = ProcessExperiment.class.getResource("processes.xsd");
    private final String file;
    private final String name;
    private final long seed;
    private final int durationS;
    private final XmlElement fleet;
    private final XmlElement clients;
    private final List<Consumer<Fleet>> faults = new ArrayList<>();
    private final List<Check> checks = new ArrayList<>();
    private long slackUs;
    private boolean failsSystemCalls;

    private ProcessExperiment(String file, XmlElement root, List<Fault> wrong) {
        this.file = file;
        name = root.text("name");
        seed = root.whole("seed");
        durationS = (int) root.whole("durationS");
        fleet = root.child("fleet");
        clients = root.child("clients");
        if (silentAfterMs() > 0 && (silentAfterMs() < LEAST_SILENT_MS || silentAfterMs() > MOST_SILENT_MS)) {
            wrong.add(fleet.fault(file, "silentAfterMs", "is 0, or " + LEAST_SILENT_MS + " to " + MOST_SILENT_MS));
        }
        root.child("faults").children().forEach(f -> fault(f, wrong));
        root.child("checks").children().forEach(c -> check(c, wrong));
    }

    /** Reads a file that anyone may have written. */
    public static ProcessExperiment read(Path file) throws FaultyFileException {
        List<Fault> wrong = new ArrayList<>();
        ProcessExperiment read = new ProcessExperiment(file.toString(), XmlFile.read(file, SCHEMA), wrong);
        if (!wrong.isEmpty()) {
            throw new FaultyFileException(wrong);
        }
        return read;
    }

    private int numbered(XmlElement e, String attribute, long count, List<Fault> wrong) {
        long n = e.whole(attribute);
        if (n >= count) {
            wrong.add(e.fault(file, attribute, "there is no " + attribute + " " + n + "; the first is 0"));
        }
        return (int) n;
    }

    private void fault(XmlElement e, List<Fault> wrong) {
        long atUs = e.seconds("atS");
        if (e.number("atS") >= durationS) {
            wrong.add(e.fault(file, "atS", "the run is over then"));
        }
        long untilUs = e.has("untilS") ? e.seconds("untilS") : 0;
        if (e.has("untilS") && untilUs <= atUs) {
            wrong.add(e.fault(file, "untilS", "is not after atS"));
        }
        if (e.name().equals("random")) {
            faults.add(f -> new RandomFaults(f, f.seed(), poolers(), servers(), e.seconds("lengthS"))
                    .set((int) e.whole("count"), atUs, untilUs));
            return;
        }
        if (e.has("from")) {
            peersFault(e, atUs, untilUs, wrong);
            return;
        }
        if (e.has("server")) {
            serverFault(e, numbered(e, "server", servers(), wrong), atUs, untilUs);
            return;
        }
        int pooler = numbered(e, "pooler", fleet.whole("poolers"), wrong);
        if (!operated() && (e.name().equals("upgrade") || e.name().equals("call"))) {
            wrong.add(e.fault(file, null, "the poolers of this fleet are not operated"));
        }
        switch (e.name()) {
            case "upgrade" -> upgradeFault(e, pooler, atUs);
            case "call" -> {
                boolean named = e.has("on");
                int server = named ? numbered(e, "on", servers(), wrong) : OperatorCalls.NO_SERVER;
                if (named != List.of("SUSPEND", "RESTORE").contains(e.text("line"))) {
                    wrong.add(e.fault(file, "on", "is for SUSPEND and RESTORE, and for these alone"));
                }
                faults.add(f -> f.at(atUs, () -> f.operators().call(pooler, e.text("line"), server)));
            }
            case "system" -> systemFault(e, pooler, atUs, untilUs);
            case "kill" -> faults.add(f -> f.at(atUs, () -> f.lifecycle().kill(pooler, e.seconds("awayS"), () -> {})));
            case "stop" -> faults.add(f -> f.at(atUs, () -> f.lifecycle().stop(pooler, e.seconds("awayS"), () -> {})));
            case "pause" ->
                between(
                        atUs,
                        untilUs,
                        f -> f.lifecycle().pause(pooler, true),
                        f -> f.lifecycle().pause(pooler, false));
            default -> linkFault(e, pooler, atUs, untilUs);
        }
    }

    private void upgradeFault(XmlElement e, int pooler, long atUs) {
        long killAfterUs = e.has("diesAfterMs") ? e.ms("diesAfterMs") : 0;
        faults.add(f -> f.at(atUs, () -> {
            if (killAfterUs > 0) {
                f.upgrades().upgradeAborted(pooler, killAfterUs);
            } else {
                f.upgrades().upgrade(pooler);
            }
        }));
    }

    private void systemFault(XmlElement e, int pooler, long atUs, long untilUs) {
        SystemFaults.Call call = SystemFaults.Call.valueOf(e.text("call"));
        SystemFaults.Error error = SystemFaults.Error.valueOf(e.text("error"));
        long times = e.has("times") ? e.whole("times") : SystemFaults.ALWAYS;
        long spanUs = e.ms("spanMs") * (e.flag("back") ? -1 : 1);
        failsSystemCalls = true;
        faults.add(f -> f.at(atUs, () -> f.systemFaults().strike(pooler, call, error, untilUs - atUs, times, spanUs)));
    }

    private void between(long atUs, long untilUs, Consumer<Fleet> begin, Consumer<Fleet> end) {
        faults.add(f -> {
            f.at(atUs, () -> begin.accept(f));
            f.at(untilUs, () -> end.accept(f));
        });
    }

    private void linkFault(XmlElement e, int pooler, long atUs, long untilUs) {
        NetworkSide side = NetworkSide.valueOf(e.text("to").toUpperCase(Locale.ROOT));
        switch (e.name()) {
            case "cut" -> {
                boolean in = !e.text("way").equals("out");
                boolean out = !e.text("way").equals("in");
                between(
                        atUs,
                        untilUs,
                        f -> f.network().cut(pooler, side, in, out),
                        f -> f.network().cut(pooler, side, false, false));
            }
            case "delay" -> {
                long us = e.ms("ms");
                between(
                        atUs,
                        untilUs,
                        f -> f.network().delay(pooler, side, us),
                        f -> f.network().delay(pooler, side, 0));
            }
            case "slow" -> {
                long bytes = e.whole("bytesPerS");
                between(
                        atUs,
                        untilUs,
                        f -> f.network().slow(pooler, side, bytes),
                        f -> f.network().slow(pooler, side, 0));
            }
            default -> faults.add(f -> f.at(atUs, () -> f.network().reset(pooler, side)));
        }
    }

    private void peersFault(XmlElement e, long atUs, long untilUs, List<Fault> wrong) {
        if (silentAfterMs() == 0) {
            wrong.add(e.fault(file, null, "the poolers of this fleet do not see each other"));
        }
        List<Integer> from = numbers(e, "from", wrong);
        List<Integer> to = numbers(e, "to", wrong);
        if (from.stream().anyMatch(to::contains)) {
            wrong.add(e.fault(file, "to", "a pooler stands on both sides"));
        }
        switch (e.name()) {
            case "cutPeers" -> {
                boolean both = e.text("way").equals("both");
                between(atUs, untilUs, f -> cutPeers(f, from, to, both, true), f -> cutPeers(f, from, to, both, false));
            }
            case "delayPeers" ->
                between(
                        atUs,
                        untilUs,
                        f -> f.network().delayPeers(from, to, e.ms("ms")),
                        f -> f.network().delayPeers(from, to, 0));
            default ->
                between(
                        atUs,
                        untilUs,
                        f -> f.network().slowPeers(from, to, e.whole("bytesPerS")),
                        f -> f.network().slowPeers(from, to, 0));
        }
    }

    private static void cutPeers(Fleet f, List<Integer> from, List<Integer> to, boolean both, boolean isCut) {
        f.network().cutPeers(from, to, isCut);
        if (both) {
            f.network().cutPeers(to, from, isCut);
        }
    }

    private List<Integer> numbers(XmlElement e, String attribute, List<Fault> wrong) {
        List<Integer> numbers = Arrays.stream(e.text(attribute).split("\\s+"))
                .map(Integer::valueOf)
                .toList();
        if (numbers.stream().anyMatch(n -> n >= poolers())) {
            wrong.add(e.fault(file, attribute, "there are poolers 0 to " + (poolers() - 1)));
        }
        return numbers;
    }

    private void serverFault(XmlElement e, int server, long atUs, long untilUs) {
        Consumer<Fleet> begin = switch (e.name()) {
            case "crashServer" -> f -> f.cluster().crash(f.server(server));
            case "loseServer" -> f -> f.cluster().vanish(f.server(server));
            default -> f -> f.cluster().drain(f.server(server));
        };
        between(atUs, untilUs, begin, f -> f.cluster().start(f.server(server)));
    }

    private void check(XmlElement e, List<Fault> wrong) {
        switch (e.name()) {
            case "rules" -> {
                slackUs = e.ms("slackMs");
                checks.add(new Check("rules", 0, 0, 0));
            }
            case "worth" -> {
                int from = (int) e.whole("fromS");
                int to = (int) e.whole("toS");
                if (to <= from || to > durationS) {
                    wrong.add(e.fault(file, "toS", "is not after fromS and within the run"));
                }
                checks.add(new Check("worth", from, to, e.number("atLeast")));
            }
            case "upgrades" -> checks.add(new Check("upgrades", 0, 0, e.number("atLeast")));
            default -> checks.add(new Check(e.name(), 0, 0, e.number("atMost")));
        }
    }

    public String name() {
        return name;
    }

    /** The seed, where the call names none. */
    public long seed() {
        return seed;
    }

    int poolers() {
        return (int) fleet.whole("poolers");
    }

    private int servers() {
        return (int) (fleet.whole("zones") * fleet.whole("groups"));
    }

    /** After so long poolers notice that another is silent; 0 where they do not see each other. */
    long silentAfterMs() {
        return fleet.whole("silentAfterMs");
    }

    /** Whether operators call, and each pooler has a listening socket that outlives it. */
    boolean operated() {
        return fleet.flag("operated");
    }

    /** Whether system calls are to fail, so that the poolers need the library for that. */
    boolean failsSystemCalls() {
        return failsSystemCalls;
    }

    int durationS() {
        return durationS;
    }

    long slackUs() {
        return slackUs;
    }

    List<Consumer<Fleet>> faults() {
        return faults;
    }

    List<Check> checks() {
        return checks;
    }

    /** Its load is in requests a second; there are as many poolers a zone as go round. */
    SimulationPlan plan(long withSeed) {
        int zones = (int) fleet.whole("zones");
        return new SimulationPlan(
                withSeed,
                zones,
                (poolers() + zones - 1) / zones,
                (int) fleet.whole("groups"),
                (int) fleet.whole("cores"),
                clients.number("perSecond"),
                fleet.seconds("listLagS"),
                durationS * 1_000_000L,
                clients.flag("retry"));
    }
}
