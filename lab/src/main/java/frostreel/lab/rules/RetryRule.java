package frostreel.lab.rules;

import frostreel.routing.Router.DeduplicationScope;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.RequestClass;
import java.util.HashMap;
import java.util.Map;

/** A request that may have run already is retried, or rejected, only where its class permits that. */
final class RetryRule extends Rule {
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Long> attemptStartsUs = new HashMap<>();
    /** By request: when its first attempt that may have run was sent. */
    private final Map<String, Long> mayHaveRunSinceUs = new HashMap<>();

    RetryRule() {
        super("sent again only as the class permits");
    }

    @Override
    public void requestTaken(long nowUs, int pooler, String id, RequestClass requestClass, long deadlineUs) {
        classes.put(id, requestClass);
    }

    @Override
    public void attemptSent(long nowUs, int pooler, String id, String server) {
        Long sinceUs = mayHaveRunSinceUs.get(id);
        RequestClass requestClass = classes.get(id);
        if (sinceUs != null && requestClass != null && !mayRetry(requestClass, nowUs - sinceUs)) {
            recordViolation(nowUs, id + " may have run, and was sent again to " + server);
        }
        attemptStartsUs.put(id, nowUs);
    }

    private static boolean mayRetry(RequestClass requestClass, long ageUs) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case KEYED -> ageUs <= requestClass.deduplicationWindowUs();
            case NON_IDEMPOTENT -> false;
        };
    }

    @Override
    public void attemptEnded(long nowUs, int pooler, String id, Outcome outcome, boolean mayHaveRun) {
        Long startUs = attemptStartsUs.remove(id);
        if (mayHaveRun && startUs != null) {
            mayHaveRunSinceUs.putIfAbsent(id, startUs);
        }
    }

    @Override
    public void requestAnswered(long nowUs, int pooler, String id, Answer answer) {
        RequestClass requestClass = classes.remove(id);
        boolean mayHaveRun = mayHaveRunSinceUs.remove(id) != null;
        if (mayHaveRun && answer == Answer.REJECTED && requestClass != null && !mayReject(requestClass)) {
            recordViolation(nowUs, id + " may have run, and was refused");
        }
    }

    /** Whether the client may safely send the request again, through any pooler. */
    private static boolean mayReject(RequestClass requestClass) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case KEYED -> requestClass.deduplicationScope() == DeduplicationScope.ALL;
            case NON_IDEMPOTENT -> false;
        };
    }
}
