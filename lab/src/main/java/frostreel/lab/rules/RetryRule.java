package frostreel.lab.rules;

import frostreel.routing.Router.DeduplicationScope;
import frostreel.routing.Router.Idempotency;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.RequestClass;
import java.util.HashMap;
import java.util.Map;

/** What may have run is sent again, or refused, only as its class permits. */
final class RetryRule extends Rule {
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Long> begun = new HashMap<>();
    private final Map<String, Long> doubted = new HashMap<>();

    RetryRule() {
        super("sent again only as the class permits");
    }

    @Override
    public void asked(long nowUs, int pooler, String id, RequestClass c, long deadlineUs) {
        classes.put(id, c);
    }

    @Override
    public void sent(long nowUs, int pooler, String id, String server) {
        Long since = doubted.get(id);
        RequestClass c = classes.get(id);
        if (since != null
                && c != null
                && c.idempotency() != Idempotency.IDEMPOTENT
                && (c.idempotency() == Idempotency.NON_IDEMPOTENT || nowUs > since + c.windowUs())) {
            convict(nowUs, id + " may have run, and was sent again to " + server);
        }
        begun.put(id, nowUs);
    }

    @Override
    public void ended(long nowUs, int pooler, String id, Outcome outcome, boolean mayHaveRun) {
        Long since = begun.remove(id);
        if (mayHaveRun && since != null) {
            doubted.putIfAbsent(id, since);
        }
    }

    @Override
    public void answered(long nowUs, int pooler, String id, Answer answer) {
        RequestClass c = classes.remove(id);
        boolean harmless = c == null
                || c.idempotency() == Idempotency.IDEMPOTENT
                || c.idempotency() == Idempotency.KEYED && c.deduplicationScope() == DeduplicationScope.ALL;
        if (doubted.remove(id) != null && answer == Answer.REFUSED && !harmless) {
            convict(nowUs, id + " may have run, and was refused");
        }
    }
}
