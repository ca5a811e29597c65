package frostreel.lab.rules;

import frostreel.routing.Router.Outcome;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A request never has two attempts in flight, and never more attempts in total than the limit. */
final class AttemptLimitRule extends Rule {
    private final int maxAttempts;
    private final Set<String> inFlight = new HashSet<>();
    private final Map<String, Integer> attempts = new HashMap<>();

    AttemptLimitRule(int maxAttempts) {
        super("one attempt at a time, " + maxAttempts + " at most");
        this.maxAttempts = maxAttempts;
    }

    @Override
    public void attemptSent(long nowUs, int pooler, String id, String server) {
        if (!inFlight.add(id)) {
            recordViolation(nowUs, id + " was sent to " + server + " with an attempt in flight");
        }
        if (attempts.merge(id, 1, Integer::sum) > maxAttempts) {
            recordViolation(nowUs, id + " was sent more than " + maxAttempts + " times");
        }
    }

    @Override
    public void attemptEnded(long nowUs, int pooler, String id, Outcome outcome, boolean mayHaveRun) {
        inFlight.remove(id);
    }

    @Override
    public void requestAnswered(long nowUs, int pooler, String id, Answer answer) {
        attempts.remove(id);
    }
}
