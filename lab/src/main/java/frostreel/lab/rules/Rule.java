package frostreel.lab.rules;

import java.util.ArrayList;
import java.util.List;

/** A rule that every run has to keep: listens to the events of a run, and records violations. */
public abstract class Rule implements RunListener {
    private static final int MAX_RECORDED = 20;
    private final String name;
    private final List<String> violations = new ArrayList<>();
    private long broken;

    Rule(String name) {
        this.name = name;
    }

    void recordViolation(long nowUs, String text) {
        broken++;
        if (violations.size() < MAX_RECORDED) {
            violations.add(nowUs + " us: " + text);
        }
    }

    /** The name by which results and tests refer to the rule. */
    public String name() {
        return name;
    }

    /** The number of violations. */
    public long broken() {
        return broken;
    }

    /** Descriptions of the first violations, 20 at most. */
    public List<String> firstViolations() {
        return List.copyOf(violations);
    }
}
