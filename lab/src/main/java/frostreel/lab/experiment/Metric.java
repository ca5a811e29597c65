package frostreel.lab.experiment;

import java.util.Arrays;

/** What a check of an experiment in virtual time measures. */
enum Metric {
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

    Metric(String xmlName) {
        this.xmlName = xmlName;
    }

    /** The metric that an element of the experiment's file names; the schema allows no other names. */
    static Metric of(String xmlName) {
        return Arrays.stream(values())
                .filter(metric -> metric.xmlName.equals(xmlName))
                .findFirst()
                .orElseThrow();
    }

    /** Its name in files, and in the lines of a verdict. */
    String xmlName() {
        return xmlName;
    }
}
