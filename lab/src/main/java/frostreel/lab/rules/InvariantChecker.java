package frostreel.lab.rules;

import frostreel.routing.Router.DeduplicationScope;
import frostreel.routing.Router.Idempotency;
import frostreel.routing.Router.Limits;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.Rules;
import frostreel.routing.Router.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Every rule, fed with one run. A request's name is its own at all poolers. */
public final class InvariantChecker implements RunListener {
    /** Exactly one answer, before the client gives up. */
    static final class OneAnswer extends Rule {
        private record Owed(int pooler, long deadlineUs) {}

        private final long slackUs;
        private final Map<String, Owed> open = new HashMap<>();
        private final Set<String> excused = new HashSet<>();
        private final Set<Integer> paused = new HashSet<>();

        OneAnswer(long slackUs) {
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

    /** Never two attempts of a request in flight, and no more than the limit. */
    static final class Attempts extends Rule {
        private final int most;
        private final Set<String> out = new HashSet<>();
        private final Map<String, Integer> counts = new HashMap<>();

        Attempts(int most) {
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

    /** What may have run is sent again, or refused, only as its class permits. */
    static final class Repeats extends Rule {
        private final Map<String, RequestClass> classes = new HashMap<>();
        private final Map<String, Long> begun = new HashMap<>();
        private final Map<String, Long> doubted = new HashMap<>();

        Repeats() {
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

    /** Nothing new to a server later than the stated time after its drain or end was told. */
    static final class Drains extends Rule {
        private final long withinUs;
        private final boolean onlyDrainingBinds;
        private final Map<Integer, Map<String, Long>> toldUs = new HashMap<>();
        private final Map<String, Long> outUs = new HashMap<>();

        Drains(long withinUs, boolean onlyDrainingBinds) {
            super("drains and ends kept");
            this.onlyDrainingBinds = onlyDrainingBinds;
            this.withinUs = withinUs;
        }

        @Override
        public void told(long nowUs, int pooler, String server, State state) {
            Map<String, Long> own = toldUs.computeIfAbsent(pooler, p -> new HashMap<>());
            if (state == State.UP) {
                own.remove(server);
            } else if (state == State.DRAINING || !onlyDrainingBinds) {
                own.putIfAbsent(server, nowUs);
            }
        }

        @Override
        public void died(long nowUs, int pooler) {
            toldUs.remove(pooler);
        }

        @Override
        public void takenOut(long nowUs, int pooler, String server, boolean isOut) {
            if (isOut) {
                outUs.putIfAbsent(pooler + " " + server, nowUs);
            } else {
                outUs.remove(pooler + " " + server);
            }
        }

        @Override
        public void sent(long nowUs, int pooler, String id, String server) {
            Long out = outUs.get(pooler + " " + server);
            Long at = out != null ? out : toldUs.getOrDefault(pooler, Map.of()).get(server);
            if (at != null && nowUs > at + withinUs) {
                convict(
                        nowUs,
                        id + " was sent to " + server + " by pooler " + pooler + " " + (nowUs - at)
                                + " us after its end was told");
            }
        }
    }

    /** No cold server is pushed over, by all poolers together. */
    static final class ColdServers extends Rule {
        ColdServers() {
            super("no cold server pushed over");
        }

        @Override
        public void fell(long nowUs, String server) {
            convict(nowUs, server + " fell over");
        }
    }

    /** No read is answered from data older than its class allows. */
    static final class Freshness extends Rule {
        Freshness() {
            super("no stale read");
        }

        @Override
        public void read(long nowUs, String id, long positionUs, long needUs) {
            if (positionUs < needUs) {
                convict(nowUs, id + " was served " + (needUs - positionUs) + " us too old");
            }
        }
    }

    private final OneAnswer answers;
    private final List<Rule> rules = new ArrayList<>();

    public InvariantChecker(Limits limits, Rules figures) {
        answers = new OneAnswer(figures.answerSlackUs());
        rules.addAll(List.of(
                answers,
                new Attempts(limits.maxAttempts()),
                new Repeats(),
                new Drains(figures.stopSendingUs(), figures.onlyDrainingBinds()),
                new ColdServers(),
                new Freshness()));
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
