package frostreel.lab.experiment;

import frostreel.lab.report.Metric;

/** What a check of an experiment in virtual time measures. */
enum PolicyMetric implements Metric {
    /** How often the rules of the protocol page were broken, and exceptions that the program caught. */
    VIOLATIONS("rules"),
    /** The share of the requests' weight that was served in time. */
    WEIGHT_SHARE("worth"),
    /** The same over the worst ten seconds in a row. */
    WORST_TEN_SECONDS("worstTenSeconds"),
    /** The worst ten seconds as a share of what the optimal split of the same servers gets. */
    SHARE_OF_OPTIMUM("ofTheBound"),
    /** Cold servers that fell because they were overloaded. */
    OVERLOADED_SERVERS("fallen"),
    /** The largest multiple of its present capacity that any cold server was sent. */
    LARGEST_COLD_MULTIPLE("coldMultiple");

    private final String xmlName;

    PolicyMetric(String xmlName) {
        this.xmlName = xmlName;
    }

    /** The metric that an element of the experiment's file names; the schema allows no other names. */
    static PolicyMetric of(String xmlName) {
        return Metric.of(values(), xmlName);
    }

    @Override
    public String xmlName() {
        return xmlName;
    }
}
