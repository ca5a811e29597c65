package frostreel.lab.processes;

import frostreel.lab.report.Threshold;
import frostreel.settings.ValidationError;
import frostreel.settings.XmlElement;
import java.util.List;

/**
 * A bound on what the run of an experiment shows.
 *
 * @param fromS the first second that a weight share counts; 0 for other metrics
 * @param toS the second before which a weight share ends; 0 for other metrics
 */
record ProcessCheck(ProcessMetric metric, int fromS, int toS, Threshold threshold) {
    /** Reads a check; {@code errors} takes what makes no sense in a run of {@code durationS}. */
    static ProcessCheck read(XmlElement element, String file, int durationS, List<ValidationError> errors) {
        ProcessMetric metric = ProcessMetric.of(element.name());
        return switch (metric) {
            case VIOLATIONS -> new ProcessCheck(metric, 0, 0, Threshold.atMost(0));
            case WEIGHT_SHARE -> {
                int fromS = (int) element.integer("fromS");
                int toS = (int) element.integer("toS");
                if (toS <= fromS || toS > durationS) {
                    errors.add(element.error(file, "toS", "is not after fromS and within the run"));
                }
                yield new ProcessCheck(metric, fromS, toS, Threshold.read(element));
            }
            default -> new ProcessCheck(metric, 0, 0, Threshold.read(element));
        };
    }

    /** The name of the measured value in the lines of a verdict. */
    String subject() {
        return metric.xmlName() + (toS > 0 ? " of seconds " + fromS + " to " + toS : "");
    }

    double measure(Fleet fleet, ProcessRunFindings findings) {
        return metric.measure(fromS, toS, fleet, findings);
    }
}
