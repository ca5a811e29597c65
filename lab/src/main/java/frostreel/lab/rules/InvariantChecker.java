package frostreel.lab.rules;

import frostreel.routing.Router.Limits;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.Rules;
import frostreel.routing.Router.State;
import java.util.ArrayList;
import java.util.List;

/** Every rule, fed with one run. A request's name is its own at all poolers. */
public final class InvariantChecker implements RunListener {
    private final OneAnswerRule answers;
    private final List<Rule> rules = new ArrayList<>();

    public InvariantChecker(Limits limits, Rules figures) {
        answers = new OneAnswerRule(figures.answerSlackUs());
        rules.addAll(List.of(
                answers,
                new AttemptLimitRule(limits.maxAttempts()),
                new RetryRule(),
                new DrainRule(figures.stopSendingUs(), figures.onlyDrainingBinds()),
                new ColdServerRule(),
                new FreshnessRule()));
    }

    /** The run is over: what is open past its time was never answered. */
    public void end(long nowUs) {
        answers.end(nowUs);
    }

    public List<Rule> rules() {
        return List.copyOf(rules);
    }

    /** How often any rule was broken. */
    public long broken() {
        return rules.stream().mapToLong(Rule::broken).sum();
    }

    @Override
    public void asked(long nowUs, int pooler, String id, RequestClass c, long deadlineUs) {
        rules.forEach(r -> r.asked(nowUs, pooler, id, c, deadlineUs));
    }

    @Override
    public void answered(long nowUs, int pooler, String id, Answer answer) {
        rules.forEach(r -> r.answered(nowUs, pooler, id, answer));
    }

    @Override
    public void sent(long nowUs, int pooler, String id, String server) {
        rules.forEach(r -> r.sent(nowUs, pooler, id, server));
    }

    @Override
    public void ended(long nowUs, int pooler, String id, Outcome outcome, boolean mayHaveRun) {
        rules.forEach(r -> r.ended(nowUs, pooler, id, outcome, mayHaveRun));
    }

    @Override
    public void read(long nowUs, String id, long positionUs, long needUs) {
        rules.forEach(r -> r.read(nowUs, id, positionUs, needUs));
    }

    @Override
    public void told(long nowUs, int pooler, String server, State state) {
        rules.forEach(r -> r.told(nowUs, pooler, server, state));
    }

    @Override
    public void takenOut(long nowUs, int pooler, String server, boolean isOut) {
        rules.forEach(r -> r.takenOut(nowUs, pooler, server, isOut));
    }

    @Override
    public void fell(long nowUs, String server) {
        rules.forEach(r -> r.fell(nowUs, server));
    }

    @Override
    public void excused(long nowUs, String id) {
        rules.forEach(r -> r.excused(nowUs, id));
    }

    @Override
    public void died(long nowUs, int pooler) {
        rules.forEach(r -> r.died(nowUs, pooler));
    }

    @Override
    public void paused(long nowUs, int pooler, boolean isPaused) {
        rules.forEach(r -> r.paused(nowUs, pooler, isPaused));
    }
}
