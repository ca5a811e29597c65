package frostreel.lab.processes;

import frostreel.settings.ValidationError;
import frostreel.settings.XmlElement;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * The XML element of one fault of an experiment. Checks the attributes that have to agree with the rest of the
 * experiment, such as a pooler's number, and reports each one that does not.
 */
final class FaultElement {
    private final XmlElement xml;
    private final String file;
    private final ProcessExperiment experiment;
    private final List<ValidationError> errors;
    private final long atUs;
    private final long untilUs;

    /** Reads when the fault begins and ends; {@code errors} takes what is wrong with the element. */
    FaultElement(XmlElement xml, String file, ProcessExperiment experiment, List<ValidationError> errors) {
        this.xml = xml;
        this.file = file;
        this.experiment = experiment;
        this.errors = errors;
        atUs = xml.microsFromSeconds("atS");
        if (xml.decimal("atS") >= experiment.durationS()) {
            reject("atS", "the run is over then");
        }
        untilUs = xml.has("untilS") ? xml.microsFromSeconds("untilS") : TimedFault.NEVER;
        if (xml.has("untilS") && untilUs <= atUs) {
            reject("untilS", "is not after atS");
        }
    }

    /** The element itself, for attributes that the schema alone checks. */
    XmlElement xml() {
        return xml;
    }

    ProcessExperiment experiment() {
        return experiment;
    }

    /** When the fault begins, from the start of the run. */
    long atUs() {
        return atUs;
    }

    /** When the fault ends, from the start of the run, or {@link TimedFault#NEVER}. */
    long untilUs() {
        return untilUs;
    }

    /** The number of the pooler that the fault hits. */
    int pooler() {
        return number("pooler", experiment.poolers());
    }

    /** The number of the server that the fault hits. */
    int server() {
        return number("server", experiment.servers());
    }

    /** The number that an attribute states, where the experiment has {@code count}, the first of them 0. */
    int number(String attribute, long count) {
        long number = xml.integer(attribute);
        if (number >= count) {
            reject(attribute, "there is no " + attribute + " " + number + "; the first is 0");
        }
        return (int) number;
    }

    /** The numbers of the poolers that an attribute lists. */
    List<Integer> poolers(String attribute) {
        List<Integer> numbers = Arrays.stream(xml.text(attribute).split("\\s+"))
                .map(Integer::valueOf)
                .toList();
        if (numbers.stream().anyMatch(number -> number >= experiment.poolers())) {
            reject(attribute, "there are poolers 0 to " + (experiment.poolers() - 1));
        }
        return numbers;
    }

    /** The remote parties from which the pooler is separated. */
    NetworkSide side() {
        return NetworkSide.valueOf(xml.text("to").toUpperCase(Locale.ROOT));
    }

    /** Reports that the element does not fit the experiment. */
    void reject(String reason) {
        errors.add(xml.error(file, reason));
    }

    /** Reports that an attribute does not fit the experiment. */
    void reject(String attribute, String reason) {
        errors.add(xml.error(file, attribute, reason));
    }
}
