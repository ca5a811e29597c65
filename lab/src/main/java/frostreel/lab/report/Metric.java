package frostreel.lab.report;

import java.util.Arrays;

/** What a check of an experiment measures. */
public interface Metric {
    /** The name of the check's element in the experiment's file, and of the value in the lines of a verdict. */
    String xmlName();

    /** The metric that an element of an experiment's file names; its schema allows no other names. */
    static <M extends Metric> M of(M[] metrics, String xmlName) {
        return Arrays.stream(metrics)
                .filter(metric -> metric.xmlName().equals(xmlName))
                .findFirst()
                .orElseThrow();
    }
}
