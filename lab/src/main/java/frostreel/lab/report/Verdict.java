package frostreel.lab.report;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Whether the checks of a run hold, with a line for each check. */
public final class Verdict {
    private final List<String> lines = new ArrayList<>();
    private boolean passed = true;

    /** Adds a check of a measured value; {@code subject} names the value. */
    public void check(String subject, double measured, Threshold threshold) {
        boolean holds = threshold.holds(measured);
        passed &= holds;
        lines.add(String.format(Locale.ROOT, "%s: %s is %.3f, %s", word(holds), subject, measured, threshold));
    }

    /** Adds a failure that no check of the experiment covers. */
    public void fail(String reason) {
        passed = false;
        lines.add(word(false) + ": " + reason);
    }

    /** Whether everything added so far holds. */
    public boolean passed() {
        return passed;
    }

    /** A line for each check and failure, in the order in which they were added. */
    public List<String> lines() {
        return List.copyOf(lines);
    }

    /** The verdict as results state it: {@code pass} or {@code fail}. */
    public String word() {
        return word(passed);
    }

    /** Prints the lines, and the verdict as the last one. */
    public void print(PrintWriter out) {
        lines.forEach(out::println);
        out.println("verdict: " + word());
        out.flush();
    }

    private static String word(boolean good) {
        return good ? "pass" : "fail";
    }
}
