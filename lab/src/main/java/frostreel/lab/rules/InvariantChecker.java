package frostreel.lab.rules;

import frostreel.routing.Limits;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.Rules;
import frostreel.routing.Router.State;
import java.util.List;

/** Checks every rule on one run. A request's id is its own at all poolers. */
public final class InvariantChecker implements RunListener {
    private final OneAnswerRule answers;
    private final List<Rule> rules;
    /** The same as an array: each event of a run goes to all of them, and costs no allocation so. */
    private final Rule[] notified;

    /** A checker by the limits and figures that a deployment states. */
    public InvariantChecker(Limits limits, Rules figures) {
        answers = new OneAnswerRule(figures.answerSlackUs());
        rules = List.of(
                answers,
                new AttemptLimitRule(limits.maxAttempts()),
                new RetryRule(),
                new DrainRule(figures.stopSendingUs(), figures.onlyDrainingBinds()),
                new ColdServerRule(),
                new FreshnessRule());
        notified = rules.toArray(new Rule[0]);
    }

    /** The run has ended: each request that is still open past its deadline was never answered. */
    public void end(long nowUs) {
        answers.end(nowUs);
    }

    /** Every rule, in a fixed order. */
    public List<Rule> rules() {
        return rules;
    }

    /** The number of violations, of all rules together. */
    public long broken() {
        return rules.stream().mapToLong(Rule::broken).sum();
    }

    @Override
    public void requestTaken(long nowUs, int pooler, String id, RequestClass requestClass, long deadlineUs) {
        for (Rule rule : notified) {
            rule.requestTaken(nowUs, pooler, id, requestClass, deadlineUs);
        }
    }

    @Override
    public void requestAnswered(long nowUs, int pooler, String id, Answer answer) {
        for (Rule rule : notified) {
            rule.requestAnswered(nowUs, pooler, id, answer);
        }
    }

    @Override
    public void requestExcused(long nowUs, String id) {
        for (Rule rule : notified) {
            rule.requestExcused(nowUs, id);
        }
    }

    @Override
    public void attemptSent(long nowUs, int pooler, String id, String server) {
        for (Rule rule : notified) {
            rule.attemptSent(nowUs, pooler, id, server);
        }
    }

    @Override
    public void attemptEnded(long nowUs, int pooler, String id, Outcome outcome, boolean mayHaveRun) {
        for (Rule rule : notified) {
            rule.attemptEnded(nowUs, pooler, id, outcome, mayHaveRun);
        }
    }

    @Override
    public void readServed(long nowUs, String id, long positionUs, long requiredUs) {
        for (Rule rule : notified) {
            rule.readServed(nowUs, id, positionUs, requiredUs);
        }
    }

    @Override
    public void endpointUpdated(long nowUs, int pooler, String server, State state) {
        for (Rule rule : notified) {
            rule.endpointUpdated(nowUs, pooler, server, state);
        }
    }

    @Override
    public void serverSuspended(long nowUs, int pooler, String server, boolean isSuspended) {
        for (Rule rule : notified) {
            rule.serverSuspended(nowUs, pooler, server, isSuspended);
        }
    }

    @Override
    public void serverOverloaded(long nowUs, String server) {
        for (Rule rule : notified) {
            rule.serverOverloaded(nowUs, server);
        }
    }

    @Override
    public void poolerKilled(long nowUs, int pooler) {
        for (Rule rule : notified) {
            rule.poolerKilled(nowUs, pooler);
        }
    }

    @Override
    public void poolerPaused(long nowUs, int pooler, boolean isPaused) {
        for (Rule rule : notified) {
            rule.poolerPaused(nowUs, pooler, isPaused);
        }
    }
}
