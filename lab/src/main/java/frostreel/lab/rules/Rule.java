package frostreel.lab.rules;

import java.util.ArrayList;
import java.util.List;

/** A rule that every run has to keep: it listens to a run, and records what broke it. */
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

    /** What results and tests call it. */
    public String name() {
        return name;
    }

    /** How often it was broken. */
    public long broken() {
        return broken;
    }

    /** The first times that it was broken, in words. */
    public List<String> firstViolations() {
        return List.copyOf(violations);
    }
}
