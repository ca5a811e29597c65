package frostreel.lab.processes;

import frostreel.settings.Fault;
import frostreel.settings.XmlElement;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Reads the faults of an experiment with processes, and checks each for sense. */
final class ProcessFaultReader {
    /** Operators' commands that name a server. */
    private static final List<String> COMMANDS_ON_SERVERS = List.of("SUSPEND", "RESTORE");

    private final String file;
    private final ProcessExperiment experiment;
    private final List<Fault> errors;
    private final List<Consumer<Fleet>> faults = new ArrayList<>();
    private boolean failsSystemCalls;

    /** {@code errors} takes what is wrong with the file. */
    ProcessFaultReader(String file, ProcessExperiment experiment, List<Fault> errors) {
        this.file = file;
        this.experiment = experiment;
        this.errors = errors;
    }

    /** What sets each fault in a fleet that begins to run, in the file's order. */
    List<Consumer<Fleet>> faults() {
        return faults;
    }

    /** Whether system calls are to fail, so that the poolers need the library for that. */
    boolean failsSystemCalls() {
        return failsSystemCalls;
    }

    /** Reads one fault. */
    void read(XmlElement xml) {
        FaultElement element = new FaultElement(xml, file, experiment, errors);
        if (xml.name().equals("random")) {
            randomFaults(element);
        } else if (xml.has("from")) {
            peersFault(element);
        } else if (xml.has("server")) {
            serverFault(element);
        } else {
            poolerFault(element);
        }
    }

    private void at(long atUs, Consumer<Fleet> fault) {
        faults.add(fleet -> fleet.at(atUs, () -> fault.accept(fleet)));
    }

    private void between(long atUs, long untilUs, Consumer<Fleet> begin, Consumer<Fleet> end) {
        faults.add(fleet -> {
            fleet.at(atUs, () -> begin.accept(fleet));
            fleet.at(untilUs, () -> end.accept(fleet));
        });
    }

    private void randomFaults(FaultElement element) {
        long lengthUs = element.xml().microsFromSeconds("lengthS");
        int count = (int) element.xml().integer("count");
        int poolers = experiment.poolers();
        int servers = experiment.servers();
        faults.add(fleet -> new RandomFaults(fleet, fleet.seed(), poolers, servers, lengthUs)
                .set(count, element.atUs(), element.untilUs()));
    }

    private void poolerFault(FaultElement element) {
        int pooler = element.pooler();
        boolean needsOperators =
                element.xml().name().equals("upgrade") || element.xml().name().equals("call");
        if (needsOperators && !experiment.operated()) {
            element.reject(null, "the poolers of this fleet are not operated");
        }
        switch (element.xml().name()) {
            case "upgrade" -> upgrade(element, pooler);
            case "call" -> operatorCall(element, pooler);
            case "system" -> systemFault(element, pooler);
            case "kill" -> {
                long downUs = element.xml().microsFromSeconds("awayS");
                at(element.atUs(), fleet -> fleet.lifecycle().kill(pooler, downUs, () -> {}));
            }
            case "stop" -> {
                long downUs = element.xml().microsFromSeconds("awayS");
                at(element.atUs(), fleet -> fleet.lifecycle().stop(pooler, downUs, () -> {}));
            }
            case "pause" ->
                between(
                        element.atUs(),
                        element.untilUs(),
                        fleet -> fleet.lifecycle().pause(pooler, true),
                        fleet -> fleet.lifecycle().pause(pooler, false));
            default -> networkFault(element, pooler);
        }
    }

    private void upgrade(FaultElement element, int pooler) {
        long killAfterUs = element.xml().has("diesAfterMs") ? element.xml().microsFromMillis("diesAfterMs") : 0;
        if (killAfterUs > 0) {
            at(element.atUs(), fleet -> fleet.upgrades().upgradeAborted(pooler, killAfterUs));
        } else {
            at(element.atUs(), fleet -> fleet.upgrades().upgrade(pooler));
        }
    }

    private void operatorCall(FaultElement element, int pooler) {
        String command = element.xml().text("line");
        boolean named = element.xml().has("on");
        int server = named ? element.decimal("on", experiment.servers()) : OperatorCalls.NO_SERVER;
        if (named != COMMANDS_ON_SERVERS.contains(command)) {
            element.reject("on", "is for SUSPEND and RESTORE, and for these alone");
        }
        at(element.atUs(), fleet -> fleet.operators().call(pooler, command, server));
    }

    private void systemFault(FaultElement element, int pooler) {
        SystemFaults.Call call = SystemFaults.Call.valueOf(element.xml().text("call"));
        SystemFaults.Errno error = SystemFaults.Errno.valueOf(element.xml().text("error"));
        long times = element.xml().has("times") ? element.xml().integer("times") : SystemFaults.ALWAYS;
        long spanUs = element.xml().microsFromMillis("spanMs") * (element.xml().isTrue("back") ? -1 : 1);
        failsSystemCalls = true;
        long forUs = element.untilUs() - element.atUs();
        at(element.atUs(), fleet -> fleet.systemFaults().strike(pooler, call, error, forUs, times, spanUs));
    }

    private void networkFault(FaultElement element, int pooler) {
        NetworkSide side = element.side();
        switch (element.xml().name()) {
            case "cut" -> {
                boolean inbound = !element.xml().text("way").equals("out");
                boolean outbound = !element.xml().text("way").equals("in");
                between(
                        element.atUs(),
                        element.untilUs(),
                        fleet -> fleet.network().cut(pooler, side, inbound, outbound),
                        fleet -> fleet.network().cut(pooler, side, false, false));
            }
            case "delay" -> {
                long delayUs = element.xml().microsFromMillis("ms");
                between(
                        element.atUs(),
                        element.untilUs(),
                        fleet -> fleet.network().delay(pooler, side, delayUs),
                        fleet -> fleet.network().delay(pooler, side, 0));
            }
            case "slow" -> {
                long bytesPerSecond = element.xml().integer("bytesPerS");
                between(
                        element.atUs(),
                        element.untilUs(),
                        fleet -> fleet.network().slow(pooler, side, bytesPerSecond),
                        fleet -> fleet.network().slow(pooler, side, 0));
            }
            default -> at(element.atUs(), fleet -> fleet.network().reset(pooler, side));
        }
    }

    private void peersFault(FaultElement element) {
        if (experiment.silentAfterMs() == 0) {
            element.reject(null, "the poolers of this fleet do not see each other");
        }
        List<Integer> from = element.poolers("from");
        List<Integer> to = element.poolers("to");
        if (from.stream().anyMatch(to::contains)) {
            element.reject("to", "a pooler stands on both sides");
        }
        switch (element.xml().name()) {
            case "cutPeers" -> {
                boolean both = element.xml().text("way").equals("both");
                between(
                        element.atUs(),
                        element.untilUs(),
                        fleet -> cutPeers(fleet, from, to, both, true),
                        fleet -> cutPeers(fleet, from, to, both, false));
            }
            case "delayPeers" -> {
                long delayUs = element.xml().microsFromMillis("ms");
                between(
                        element.atUs(),
                        element.untilUs(),
                        fleet -> fleet.network().delayPeers(from, to, delayUs),
                        fleet -> fleet.network().delayPeers(from, to, 0));
            }
            default -> {
                long bytesPerSecond = element.xml().integer("bytesPerS");
                between(
                        element.atUs(),
                        element.untilUs(),
                        fleet -> fleet.network().slowPeers(from, to, bytesPerSecond),
                        fleet -> fleet.network().slowPeers(from, to, 0));
            }
        }
    }

    private static void cutPeers(Fleet fleet, List<Integer> from, List<Integer> to, boolean both, boolean isCut) {
        fleet.network().cutPeers(from, to, isCut);
        if (both) {
            fleet.network().cutPeers(to, from, isCut);
        }
    }

    private void serverFault(FaultElement element) {
        int server = element.server();
        Consumer<Fleet> begin = switch (element.xml().name()) {
            case "crashServer" -> fleet -> fleet.cluster().crash(fleet.server(server));
            case "loseServer" -> fleet -> fleet.cluster().vanish(fleet.server(server));
            default -> fleet -> fleet.cluster().drain(fleet.server(server));
        };
        between(element.atUs(), element.untilUs(), begin, fleet -> fleet.cluster().start(fleet.server(server)));
    }
}
