package frostreel.lab.rules;

import frostreel.routing.Router.Outcome;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Never two attempts of a request in flight, and no more than the limit. */
final class AttemptLimitRule extends Rule {
    private final int most;
    private final Set<String> out = new HashSet<>();
    private final Map<String, Integer> counts = new HashMap<>();

    AttemptLimitRule(int most) {
        super("one attempt at a time, " + most + " at most");
        this.most = most;
    }

    @Override
    public void sent(long nowUs, int pooler, String id, String server) {
        if (!out.add(id)) {
            convict(nowUs, id + " was sent to " + server + " with an attempt in flight");
        }
        if (counts.merge(id, 1, Integer::sum) > most) {
            convict(nowUs, id + " was sent more than " + most + " times");
        }
    }

    @Override
    public void ended(long nowUs, int pooler, String id, Outcome outcome, boolean mayHaveRun) {
        out.remove(id);
    }

    @Override
    public void answered(long nowUs, int pooler, String id, Answer answer) {
        counts.remove(id);
    }
}
