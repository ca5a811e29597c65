package frostreel.lab.rules;

import java.util.ArrayList;
import java.util.List;

/** A rule of the protocol page: it listens to a run, and keeps what broke it. */
public abstract class Rule implements RunListener {
    private static final int MOST_KEPT = 20;
    private final String name;
    private final List<String> kept = new ArrayList<>();
    private long broken;

    Rule(String name) {
        this.name = name;
    }

    void convict(long nowUs, String text) {
        broken++;
        if (kept.size() < MOST_KEPT) {
            kept.add(nowUs + " us: " + text);
        }
    }

    public String name() {
        return name;
    }

    /** How often it was broken. */
    public long broken() {
        return broken;
    }

    /** The first times that it was broken, in words. */
    public List<String> convictions() {
        return List.copyOf(kept);
    }
}
