package frostreel.lab.rules;

import frostreel.routing.Router.RequestClass;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Exactly one answer, before the client gives up. */
final class OneAnswerRule extends Rule {
    private record Owed(int pooler, long deadlineUs) {}

    private final long slackUs;
    private final Map<String, Owed> open = new HashMap<>();
    private final Set<String> excused = new HashSet<>();
    private final Set<Integer> paused = new HashSet<>();

    OneAnswerRule(long slackUs) {
        super("one final answer in time");
        this.slackUs = slackUs;
    }

    @Override
    public void answered(long nowUs, int pooler, String id, Answer answer) {
        Owed owed = open.remove(id);
        if (owed == null) {
            if (!excused.remove(id)) {
                convict(nowUs, id + " was answered again");
            }
        } else if (nowUs > owed.deadlineUs + slackUs) {
            convict(nowUs, id + " was answered " + (nowUs - owed.deadlineUs) + " us late");
        }
    }

    @Override
    public void excused(long nowUs, String id) {
        if (open.remove(id) != null) {
            excused.add(id);
        }
    }

    @Override
    public void asked(long nowUs, int pooler, String id, RequestClass c, long deadlineUs) {
        excused.remove(id);
        open.put(id, new Owed(pooler, deadlineUs));
        if (paused.contains(pooler)) {
            excused(nowUs, id);
        }
    }

    @Override
    public void paused(long nowUs, int pooler, boolean isPaused) {
        if (isPaused) {
            paused.add(pooler);
            excuse(nowUs, pooler);
        } else {
            paused.remove(pooler);
        }
    }

    /** It owes nothing more; what it had written before may still arrive. */
    @Override
    public void died(long nowUs, int pooler) {
        excuse(nowUs, pooler);
    }

    private void excuse(long nowUs, int pooler) {
        List.copyOf(open.entrySet()).stream()
                .filter(e -> e.getValue().pooler == pooler)
                .forEach(e -> excused(nowUs, e.getKey()));
    }

    void end(long nowUs) {
        open.forEach((id, owed) -> {
            if (nowUs > owed.deadlineUs + slackUs) {
                convict(nowUs, id + " was never answered");
            }
        });
    }
}
