package frostreel.lab.rules;

import frostreel.routing.Router.RequestClass;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Each request gets exactly one answer, before its deadline. */
final class OneAnswerRule extends Rule {
    private record Open(int pooler, long deadlineUs) {}

    private final long slackUs;
    private final Map<String, Open> open = new HashMap<>();
    private final Set<String> excused = new HashSet<>();
    private final Set<Integer> pausedPoolers = new HashSet<>();

    OneAnswerRule(long slackUs) {
        super("one final answer in time");
        this.slackUs = slackUs;
    }

    @Override
    public void requestTaken(long nowUs, int pooler, String id, RequestClass requestClass, long deadlineUs) {
        excused.remove(id);
        open.put(id, new Open(pooler, deadlineUs));
        if (pausedPoolers.contains(pooler)) {
            requestExcused(nowUs, id);
        }
    }

    @Override
    public void requestAnswered(long nowUs, int pooler, String id, Answer answer) {
        Open request = open.remove(id);
        if (request == null) {
            if (!excused.remove(id)) {
                recordViolation(nowUs, id + " was answered again");
            }
        } else if (nowUs > request.deadlineUs + slackUs) {
            recordViolation(nowUs, id + " was answered " + (nowUs - request.deadlineUs) + " us late");
        }
    }

    @Override
    public void requestExcused(long nowUs, String id) {
        if (open.remove(id) != null) {
            excused.add(id);
        }
    }

    @Override
    public void poolerPaused(long nowUs, int pooler, boolean isPaused) {
        if (isPaused) {
            pausedPoolers.add(pooler);
            excuseAll(nowUs, pooler);
        } else {
            pausedPoolers.remove(pooler);
        }
    }

    /** A killed process owes no answers any more; those that it had already written may still arrive. */
    @Override
    public void poolerKilled(long nowUs, int pooler) {
        excuseAll(nowUs, pooler);
    }

    private void excuseAll(long nowUs, int pooler) {
        List.copyOf(open.entrySet()).stream()
                .filter(entry -> entry.getValue().pooler == pooler)
                .forEach(entry -> requestExcused(nowUs, entry.getKey()));
    }

    /** The run has ended: each request that is still open past its deadline was never answered. */
    void end(long nowUs) {
        open.forEach((id, request) -> {
            if (nowUs > request.deadlineUs + slackUs) {
                recordViolation(nowUs, id + " was never answered");
            }
        });
    }
}
