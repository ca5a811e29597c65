package frostreel.lab.processes;

import frostreel.lab.report.Metric;

/** What a check of an experiment with processes measures. */
enum ProcessMetric implements Metric {
    /** How often the rules of the protocol page were broken. */
    VIOLATIONS("rules"),
    /** The share of the requests' weight that was served in time, over some seconds of the run. */
    WEIGHT_SHARE("worth"),
    /** Requests without an answer. */
    UNANSWERED("unanswered"),
    /** Requests whose connection ended before they were read, so that their client sent them again. */
    RESENT("atTheDoor"),
    /** Upgrades whose successor came to serve clients. */
    UPGRADES("upgrades"),
    /** Old processes of upgrades that had to be killed. */
    KILLED_OLD_PROCESSES("killedOld"),
    /** Operators' commands that were not accepted. */
    REJECTED_COMMANDS("refusedCalls"),
    /** Seconds that the slowest restart took until clients were served. */
    SLOWEST_RESTART_S("slowestStartS"),
    /** Poolers that do not see all others at the end. */
    PARTITIONED("apart"),
    /** Poolers that do not hear discovery at the end. */
    WITHOUT_DISCOVERY("blind"),
    /** Lines of the poolers' logs that report a fault of the program. */
    FAULTS_IN_LOGS("faultsInLogs");

    private static final double US_PER_SECOND = 1e6;
    private final String xmlName;

    ProcessMetric(String xmlName) {
        this.xmlName = xmlName;
    }

    /** The metric that an element of the experiment's file names; the schema allows no other names. */
    static ProcessMetric of(String xmlName) {
        return Metric.of(values(), xmlName);
    }

    @Override
    public String xmlName() {
        return xmlName;
    }

    /** The value at the end of a run; the seconds matter to a weight share alone. */
    double measure(int fromS, int toS, Fleet fleet, ProcessRunFindings findings) {
        LoadStatistics load = fleet.load().statistics();
        return switch (this) {
            case VIOLATIONS -> fleet.invariants().broken();
            case WEIGHT_SHARE -> load.weightShare(fromS, toS);
            case UNANSWERED -> load.unanswered;
            case RESENT -> load.resent;
            case UPGRADES -> fleet.upgrades().completed();
            case KILLED_OLD_PROCESSES -> fleet.upgrades().killed();
            case REJECTED_COMMANDS -> fleet.operators().rejected();
            case SLOWEST_RESTART_S -> fleet.lifecycle().slowestRestartUs() / US_PER_SECOND;
            case PARTITIONED -> findings.partitioned();
            case WITHOUT_DISCOVERY -> findings.withoutDiscovery();
            case FAULTS_IN_LOGS -> findings.faultLines();
        };
    }
}
