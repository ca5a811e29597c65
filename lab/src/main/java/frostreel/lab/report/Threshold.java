package frostreel.lab.report;

import frostreel.settings.XmlElement;
import java.util.Locale;

/** The least or the largest value with which a check holds. */
public record Threshold(Kind kind, double value) {
    /** Which side of the threshold is good. */
    public enum Kind {
        /** The value is a minimum. */
        AT_LEAST,
        /** The value is a maximum. */
        AT_MOST
    }

    /** A largest value. */
    public static Threshold atMost(double value) {
        return new Threshold(Kind.AT_MOST, value);
    }

    /** The threshold of an experiment's check, which states either {@code atLeast} or {@code atMost}. */
    public static Threshold read(XmlElement check) {
        return check.has("atLeast")
                ? new Threshold(Kind.AT_LEAST, check.decimal("atLeast"))
                : atMost(check.decimal("atMost"));
    }

    /** Whether a measured value is on the good side, or at the threshold itself. */
    boolean holds(double measured) {
        return kind == Kind.AT_LEAST ? measured >= value : measured <= value;
    }

    /** As in "at least 0.500". */
    @Override
    public String toString() {
        return String.format(Locale.ROOT, "at %s %.3f", kind == Kind.AT_LEAST ? "least" : "most", value);
    }
}
