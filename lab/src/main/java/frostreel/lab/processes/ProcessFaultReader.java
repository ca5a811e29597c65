package frostreel.lab.processes;

import frostreel.settings.Fault;
import frostreel.settings.XmlElement;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
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
    void read(XmlElement element) {
        long atUs = element.microsFromSeconds("atS");
        if (element.decimal("atS") >= experiment.durationS()) {
            errors.add(element.fault(file, "atS", "the run is over then"));
        }
        long untilUs = element.has("untilS") ? element.microsFromSeconds("untilS") : 0;
        if (element.has("untilS") && untilUs <= atUs) {
            errors.add(element.fault(file, "untilS", "is not after atS"));
        }
        if (element.name().equals("random")) {
            randomFaults(element, atUs, untilUs);
        } else if (element.has("from")) {
            peersFault(element, atUs, untilUs);
        } else if (element.has("server")) {
            serverFault(element, atUs, untilUs);
        } else {
            poolerFault(element, atUs, untilUs);
        }
    }

    private int number(XmlElement element, String attribute, long count) {
        long number = element.integer(attribute);
        if (number >= count) {
            errors.add(element.fault(file, attribute, "there is no " + attribute + " " + number + "; the first is 0"));
        }
        return (int) number;
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

    private void randomFaults(XmlElement element, long atUs, long untilUs) {
        long lengthUs = element.microsFromSeconds("lengthS");
        int count = (int) element.integer("count");
        int poolers = experiment.poolers();
        int servers = experiment.servers();
        faults.add(
                fleet -> new RandomFaults(fleet, fleet.seed(), poolers, servers, lengthUs).set(count, atUs, untilUs));
    }

    private void poolerFault(XmlElement element, long atUs, long untilUs) {
        int pooler = number(element, "pooler", experiment.poolers());
        boolean needsOperators =
                element.name().equals("upgrade") || element.name().equals("call");
        if (needsOperators && !experiment.operated()) {
            errors.add(element.fault(file, "the poolers of this fleet are not operated"));
        }
        switch (element.name()) {
            case "upgrade" -> upgrade(element, pooler, atUs);
            case "call" -> operatorCall(element, pooler, atUs);
            case "system" -> systemFault(element, pooler, atUs, untilUs);
            case "kill" -> {
                long downUs = element.microsFromSeconds("awayS");
                at(atUs, fleet -> fleet.lifecycle().kill(pooler, downUs, () -> {}));
            }
            case "stop" -> {
                long downUs = element.microsFromSeconds("awayS");
                at(atUs, fleet -> fleet.lifecycle().stop(pooler, downUs, () -> {}));
            }
            case "pause" ->
                between(
                        atUs,
                        untilUs,
                        fleet -> fleet.lifecycle().pause(pooler, true),
                        fleet -> fleet.lifecycle().pause(pooler, false));
            default -> networkFault(element, pooler, atUs, untilUs);
        }
    }

    private void upgrade(XmlElement element, int pooler, long atUs) {
        long killAfterUs = element.has("diesAfterMs") ? element.microsFromMillis("diesAfterMs") : 0;
        if (killAfterUs > 0) {
            at(atUs, fleet -> fleet.upgrades().upgradeAborted(pooler, killAfterUs));
        } else {
            at(atUs, fleet -> fleet.upgrades().upgrade(pooler));
        }
    }

    private void operatorCall(XmlElement element, int pooler, long atUs) {
        String command = element.text("line");
        boolean named = element.has("on");
        int server = named ? number(element, "on", experiment.servers()) : OperatorCalls.NO_SERVER;
        if (named != COMMANDS_ON_SERVERS.contains(command)) {
            errors.add(element.fault(file, "on", "is for SUSPEND and RESTORE, and for these alone"));
        }
        at(atUs, fleet -> fleet.operators().call(pooler, command, server));
    }

    private void systemFault(XmlElement element, int pooler, long atUs, long untilUs) {
        SystemFaults.Call call = SystemFaults.Call.valueOf(element.text("call"));
        SystemFaults.Errno error = SystemFaults.Errno.valueOf(element.text("error"));
        long times = element.has("times") ? element.integer("times") : SystemFaults.ALWAYS;
        long spanUs = element.microsFromMillis("spanMs") * (element.isTrue("back") ? -1 : 1);
        failsSystemCalls = true;
        at(atUs, fleet -> fleet.systemFaults().strike(pooler, call, error, untilUs - atUs, times, spanUs));
    }

    private void networkFault(XmlElement element, int pooler, long atUs, long untilUs) {
        NetworkSide side = NetworkSide.valueOf(element.text("to").toUpperCase(Locale.ROOT));
        switch (element.name()) {
            case "cut" -> {
                boolean inbound = !element.text("way").equals("out");
                boolean outbound = !element.text("way").equals("in");
                between(
                        atUs,
                        untilUs,
                        fleet -> fleet.network().cut(pooler, side, inbound, outbound),
                        fleet -> fleet.network().cut(pooler, side, false, false));
            }
            case "delay" -> {
                long delayUs = element.microsFromMillis("ms");
                between(
                        atUs,
                        untilUs,
                        fleet -> fleet.network().delay(pooler, side, delayUs),
                        fleet -> fleet.network().delay(pooler, side, 0));
            }
            case "slow" -> {
                long bytesPerSecond = element.integer("bytesPerS");
                between(
                        atUs,
                        untilUs,
                        fleet -> fleet.network().slow(pooler, side, bytesPerSecond),
                        fleet -> fleet.network().slow(pooler, side, 0));
            }
            default -> at(atUs, fleet -> fleet.network().reset(pooler, side));
        }
    }

    private void peersFault(XmlElement element, long atUs, long untilUs) {
        if (experiment.silentAfterMs() == 0) {
            errors.add(element.fault(file, "the poolers of this fleet do not see each other"));
        }
        List<Integer> from = poolers(element, "from");
        List<Integer> to = poolers(element, "to");
        if (from.stream().anyMatch(to::contains)) {
            errors.add(element.fault(file, "to", "a pooler stands on both sides"));
        }
        switch (element.name()) {
            case "cutPeers" -> {
                boolean both = element.text("way").equals("both");
                between(
                        atUs,
                        untilUs,
                        fleet -> cutPeers(fleet, from, to, both, true),
                        fleet -> cutPeers(fleet, from, to, both, false));
            }
            case "delayPeers" -> {
                long delayUs = element.microsFromMillis("ms");
                between(
                        atUs,
                        untilUs,
                        fleet -> fleet.network().delayPeers(from, to, delayUs),
                        fleet -> fleet.network().delayPeers(from, to, 0));
            }
            default -> {
                long bytesPerSecond = element.integer("bytesPerS");
                between(
                        atUs,
                        untilUs,
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

    private List<Integer> poolers(XmlElement element, String attribute) {
        List<Integer> numbers = Arrays.stream(element.text(attribute).split("\\s+"))
                .map(Integer::valueOf)
                .toList();
        if (numbers.stream().anyMatch(number -> number >= experiment.poolers())) {
            errors.add(element.fault(file, attribute, "there are poolers 0 to " + (experiment.poolers() - 1)));
        }
        return numbers;
    }

    private void serverFault(XmlElement element, long atUs, long untilUs) {
        int server = number(element, "server", experiment.servers());
        Consumer<Fleet> begin = switch (element.name()) {
            case "crashServer" -> fleet -> fleet.cluster().crash(fleet.server(server));
            case "loseServer" -> fleet -> fleet.cluster().vanish(fleet.server(server));
            default -> fleet -> fleet.cluster().drain(fleet.server(server));
        };
        between(atUs, untilUs, begin, fleet -> fleet.cluster().start(fleet.server(server)));
    }
}
