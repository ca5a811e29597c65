package frostreel.lab.rules;

import frostreel.routing.Limits;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.Rules;
import frostreel.routing.Router.State;
import java.util.List;

/**
 * Checks all rules on one run: passes each event directly to the rules that depend on it, as runs have millions
 * of events. A request's id is unique among those of all poolers.
 */
public final class InvariantChecker implements RunListener {
    private final OneAnswerRule oneAnswer;
    private final AttemptLimitRule attemptLimit;
    private final RetryRule retries;
    private final DrainRule drains;
    private final ColdServerRule coldServers;
    private final FreshnessRule freshness;

    /** A checker of the limits and figures that a deployment states. */
    public InvariantChecker(Limits limits, Rules figures) {
        oneAnswer = new OneAnswerRule(figures.responseSlackUs());
        attemptLimit = new AttemptLimitRule(limits.maxAttempts());
        retries = new RetryRule();
        drains = new DrainRule(figures.stopSendingUs(), figures.goneMembersUsable());
        coldServers = new ColdServerRule();
        freshness = new FreshnessRule();
    }

    /** The run has ended: each request that is still open past its deadline was never answered. */
    public void end(long nowUs) {
        oneAnswer.end(nowUs);
    }

    /** Every rule, in a fixed order. */
    public List<Rule> rules() {
        return List.of(oneAnswer, attemptLimit, retries, drains, coldServers, freshness);
    }

    /** The number of violations, of all rules together. */
    public long broken() {
        return rules().stream().mapToLong(Rule::broken).sum();
    }

    @Override
    public void requestTaken(long nowUs, int pooler, String id, RequestClass requestClass, long deadlineUs) {
        oneAnswer.requestTaken(nowUs, pooler, id, requestClass, deadlineUs);
        retries.requestTaken(nowUs, pooler, id, requestClass, deadlineUs);
    }

    @Override
    public void requestAnswered(long nowUs, int pooler, String id, Answer answer) {
        oneAnswer.requestAnswered(nowUs, pooler, id, answer);
        attemptLimit.requestAnswered(nowUs, pooler, id, answer);
        retries.requestAnswered(nowUs, pooler, id, answer);
    }

    @Override
    public void requestExcused(long nowUs, String id) {
        oneAnswer.requestExcused(nowUs, id);
    }

    @Override
    public void attemptSent(long nowUs, int pooler, String id, String server) {
        attemptLimit.attemptSent(nowUs, pooler, id, server);
        retries.attemptSent(nowUs, pooler, id, server);
        drains.attemptSent(nowUs, pooler, id, server);
    }

    @Override
    public void attemptEnded(long nowUs, int pooler, String id, Outcome outcome, boolean mayHaveRun) {
        attemptLimit.attemptEnded(nowUs, pooler, id, outcome, mayHaveRun);
        retries.attemptEnded(nowUs, pooler, id, outcome, mayHaveRun);
    }

    @Override
    public void readServed(long nowUs, String id, long positionUs, long requiredUs) {
        freshness.readServed(nowUs, id, positionUs, requiredUs);
    }

    @Override
    public void endpointUpdated(long nowUs, int pooler, String server, State state) {
        drains.endpointUpdated(nowUs, pooler, server, state);
    }

    @Override
    public void serverSuspended(long nowUs, int pooler, String server, boolean isSuspended) {
        drains.serverSuspended(nowUs, pooler, server, isSuspended);
    }

    @Override
    public void serverOverloaded(long nowUs, String server) {
        coldServers.serverOverloaded(nowUs, server);
    }

    @Override
    public void poolerKilled(long nowUs, int pooler) {
        oneAnswer.poolerKilled(nowUs, pooler);
        drains.poolerKilled(nowUs, pooler);
    }

    @Override
    public void poolerPaused(long nowUs, int pooler, boolean isPaused) {
        oneAnswer.poolerPaused(nowUs, pooler, isPaused);
    }
}
