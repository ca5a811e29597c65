package frostreel.lab.virtual;

import frostreel.lab.model.Cluster;
import frostreel.lab.model.Server;
import frostreel.lab.model.VirtualTime;
import frostreel.lab.rules.InvariantChecker;
import frostreel.lab.rules.RunListener.Answer;
import frostreel.request.RequestAttributes;
import frostreel.request.ResponseHandler;
import frostreel.routing.Router;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;

/** Poolers, servers, links, clients and a list that comes late, on virtual time: one seed, one run. */
public final class Simulation {
    /** Any time will do; this one can be told from a span of time. */
    private static final long START_US = 1_700_000_000_000_000L;
    /** What is asked near the end is still answered, so long after the longest time. */
    private static final long AFTERMATH_US = 2_000_000;
    /** A pooler that starts hears what its list has missed, and is then dealt clients. */
    private static final long LIST_AFTER_US = 50_000;

    private static final long CLIENTS_AFTER_US = 100_000;

    private final SimulationPlan plan;
    private final VirtualTime kernel = new VirtualTime(START_US);
    private final Cluster cluster;
    /** Every life of every pooler, and the one that serves under each number, or null. */
    private final List<VirtualPooler> poolers = new ArrayList<>();

    private final VirtualPooler[] serving;
    /** What each one's agent has of the list. */
    private final List<Map<String, Router.Member>> lists = new ArrayList<>();

    private final Set<String> firstPrimaries = new HashSet<>();
    private final BiFunction<Router.Settings, Router.Actions, Router> maker;
    private final SplittableRandom seeds;
    private final RunStatistics tally;
    private final InvariantChecker rules;
    private final SplittableRandom chance;
    private final SplittableRandom[] clients;
    /** When each session last had a write answered, as its client knows. */
    private final long[] lastWriteUs;
    /** What each pooler is asked, as a multiple of the mean. */
    private final double[] asked;

    private long ids;
    private final List<LostRead> lostReads = new ArrayList<>();

    /**
     * A read of a session whose last commit, of those that its pooler answered, is gone with its primary.
     *
     * @param ledUs how long the group had a primary again when it was asked
     */
    record LostRead(int session, long ledUs, Answer answer) {}

    public Simulation(SimulationPlan plan, BiFunction<Router.Settings, Router.Actions, Router> maker) {
        this.plan = plan;
        this.maker = maker;
        seeds = new SplittableRandom(plan.seed());
        chance = seeds.split();
        tally = new RunStatistics(
                (int) (plan.durationUs() / 1_000_000),
                plan.zones(),
                plan.site().kinds().size());
        Router.Settings told = plan.settings(0, 0);
        rules = new InvariantChecker(told.limits(), told.rules());
        cluster = new Cluster(
                kernel,
                chance,
                plan.site().physics(),
                plan.zones(),
                plan.site().members(),
                plan.groups(),
                plan.cores(),
                this::tellLate);
        cluster.all().stream().filter(Server::primary).forEach(s -> firstPrimaries.add(s.id));
        int count = plan.zones() * plan.poolersPerZone();
        clients = new SplittableRandom[count];
        serving = new VirtualPooler[count];
        lastWriteUs = new long[plan.site().sessions()];
        asked = new double[count];
        Arrays.fill(asked, 1);
        for (int i = 0; i < count; i++) {
            clients[i] = seeds.split();
            Map<String, Router.Member> list = new LinkedHashMap<>();
            cluster.all().forEach(s -> list.put(s.id, entry(s)));
            lists.add(list);
            serving[i] = start(i);
            serving[i].told(Router.ListKind.FULL, List.copyOf(list.values()));
            nextArrival(i);
        }
    }

    private VirtualPooler start(int number) {
        int zone = number % plan.zones();
        VirtualPooler p = new VirtualPooler(
                number,
                zone,
                plan.zones(),
                kernel,
                cluster.links(),
                cluster.servers(),
                rules,
                plan.site().reports(),
                plan.settings(zone, seeds.nextLong()),
                maker);
        poolers.add(p);
        return p;
    }

    /** What the list says of a server, whose role it may have late, as at the start, or not at all. */
    private Router.Member entry(Server s) {
        Router.Member m = Cluster.entry(s);
        boolean primary = switch (plan.site().settings().listRole()) {
            case LATE -> m.primary();
            case START -> firstPrimaries.contains(s.id);
            case SILENT -> false;
        };
        return new Router.Member(m.id(), m.zone(), m.kind(), m.group(), primary, m.state(), m.weight(), m.startedUs());
    }

    // ---- Faults; each at a time from the start. ----

    /** From its next request on, the first of all poolers is asked so many times what the last one is. */
    public void uneven(double times) {
        double sum = 0;
        for (int i = 0; i < asked.length; i++) {
            asked[i] = Math.pow(times, -(double) i / Math.max(1, asked.length - 1));
            sum += asked[i];
        }
        for (int i = 0; i < asked.length; i++) {
            asked[i] *= asked.length / sum;
        }
    }

    /** Has something happen. */
    public void at(long us, Runnable what) {
        kernel.after(START_US + us - kernel.now(), what);
    }

    /** A pooler is killed, and starts again with nothing but its last list; its clients go to others. */
    public void restart(int number, long downUs) {
        VirtualPooler old = serving[number];
        if (old == null) {
            return;
        }
        old.die();
        serving[number] = null;
        List<Router.Member> held = List.copyOf(lists.get(number).values());
        kernel.after(downUs, () -> {
            VirtualPooler p = start(number);
            p.told(Router.ListKind.CACHED, held);
            kernel.after(
                    LIST_AFTER_US,
                    () -> p.told(
                            Router.ListKind.CHANGES,
                            List.copyOf(lists.get(number).values())));
            kernel.after(CLIENTS_AFTER_US, () -> serving[number] = p);
        });
    }

    /** The servers, for faults of single ones. */
    public Cluster cluster() {
        return cluster;
    }

    /** All servers of a zone vanish: they say nothing, and the list says so late. */
    public void loseZone(int zone) {
        cluster.zone(zone).forEach(cluster::vanish);
    }

    /** The zone's servers come back, all of them cold. */
    public void returnZone(int zone) {
        cluster.zone(zone).forEach(cluster::start);
    }

    /** Servers keep running, and what one zone sends another is lost on the way. */
    public void cut(int from, int to, boolean isCut) {
        cluster.cut(from, to, isCut);
    }

    /** Every server of a zone takes so many times as long. */
    public void slowZone(int zone, double times) {
        cluster.zone(zone).forEach(s -> s.slowDown(times));
    }

    /** Replicas of a zone apply so many seconds of the log in a second. */
    public void replayZone(int zone, double rate) {
        cluster.zone(zone).forEach(s -> s.replayAt(rate));
    }

    private void tellLate(Server s) {
        Router.Member entry = entry(s);
        for (int i = 0; i < serving.length; i++) {
            int number = i;
            kernel.after(plan.listLagUs() + chance.nextLong(50_000), () -> {
                lists.get(number).put(entry.id(), entry);
                if (serving[number] != null) {
                    serving[number].told(Router.ListKind.CHANGES, List.of(entry));
                }
            });
        }
    }

    // ---- Clients. ----

    private void nextArrival(int number) {
        SplittableRandom r = clients[number];
        double gapUs = -Math.log(1 - r.nextDouble()) * 1e6 / plan.perPooler() / asked[number];
        kernel.after((long) gapUs, () -> {
            if (kernel.now() - START_US < plan.durationUs()) {
                VirtualPooler p = taker(number);
                if (p != null) {
                    ask(p, r);
                }
                nextArrival(number);
            }
        });
    }

    /** Who serves in place of a pooler: itself, or the next that does; null where none does. */
    private VirtualPooler taker(int number) {
        for (int i = 0; i < serving.length; i++) {
            VirtualPooler p = serving[(number + i) % serving.length];
            if (p != null) {
                return p;
            }
        }
        return null;
    }

    private void ask(VirtualPooler p, SplittableRandom r) {
        double draw = r.nextDouble();
        int cls = 0;
        List<SimulationPlan.Kind> kinds = plan.site().kinds();
        while (cls < kinds.size() - 1 && draw >= kinds.get(cls).share()) {
            draw -= kinds.get(cls++).share();
        }
        SimulationPlan.Kind kind = kinds.get(cls);
        double work = kind.leastUs() + r.nextDouble() * (kind.mostUs() - kind.leastUs());
        int session = r.nextInt(lastWriteUs.length);
        double patience = 0.4 + 0.6 * r.nextDouble();
        tally.requests++;
        tally.asked(second(), p.zone, cls, kind.c().priorityWeight());
        submit(
                new Try(
                        p,
                        cls,
                        session % plan.groups(),
                        session,
                        work,
                        patience,
                        kernel.now(),
                        second(),
                        r.nextBoolean() && plan.clientRetries()),
                false);
    }

    private int second() {
        return (int) ((kernel.now() - START_US) / 1_000_000);
    }

    /** A client's request, with what its retry needs. */
    private record Try(
            VirtualPooler pooler,
            int cls,
            int group,
            int session,
            double workUs,
            double patience,
            long askedUs,
            int second,
            boolean mayRetry) {}

    private void submit(Try t, boolean again) {
        Router.RequestClass c = plan.site().kinds().get(t.cls).c();
        String id = Long.toString(++ids, 36);
        long now = kernel.now();
        long deadlineUs = now + (long) (c.deadlineUs() * t.patience);
        boolean carried = plan.site().settings().sessionTracking() == Router.SessionTracking.CARRIED;
        long wroteUs = carried ? lastWriteUs[t.session] : t.pooler.commit(t.session);
        boolean reads = c.access() == Router.Access.SESSION;
        long seesUs = reads ? wroteUs : c.access() == Router.Access.FRESH ? now : 0;
        rules.asked(now, t.pooler.number, id, c, deadlineUs);
        boolean isLost = reads && !carried && cluster.lost(t.group, wroteUs);
        long ledUs = isLost ? ledUs(t.group) : 0;
        t.pooler.submit(
                new RequestAttributes(
                        id,
                        t.cls,
                        t.session,
                        t.group,
                        deadlineUs,
                        reads && carried && wroteUs > 0 ? now - wroteUs : 0,
                        again),
                new VirtualPooler.Order(
                        id,
                        t.workUs,
                        c.access() == Router.Access.WRITE,
                        t.session,
                        c.access() == Router.Access.BOUNDED ? c.boundUs() : 0,
                        seesUs),
                new ResponseHandler() {
                    @Override
                    public void served(byte[] answer) {
                        tally.served++;
                        answered(Answer.SERVED);
                        long took = kernel.now() - t.askedUs;
                        tally.got(
                                t.second,
                                t.pooler.zone,
                                t.cls,
                                c.priorityWeight() * (took <= c.latencyObjectiveUs() ? 1 : c.lateWeight()));
                        if (c.access() == Router.Access.WRITE) {
                            lastWriteUs[t.session] = kernel.now();
                        }
                    }

                    @Override
                    public void rejected(long retryAfterUs) {
                        tally.refused++;
                        answered(Answer.REFUSED);
                        if (t.mayRetry && !again) {
                            tally.retries++;
                            kernel.after(Math.max(retryAfterUs, 50_000), () -> comeBack(t));
                        }
                    }

                    @Override
                    public void failed() {
                        tally.failed++;
                        answered(Answer.FAILED);
                    }

                    private void answered(Answer answer) {
                        rules.answered(kernel.now(), t.pooler.number, id, answer);
                        if (isLost) {
                            lostReads.add(new LostRead(t.session, ledUs, answer));
                        }
                    }

                    @Override
                    public void cancelled() {
                        throw new IllegalStateException("no client of this model cancels");
                    }

                    @Override
                    public boolean isClientConnected() {
                        return true;
                    }
                });
    }

    /** For how long a group has had its primary, 0 where it has none. */
    private long ledUs(int group) {
        return cluster.all().stream()
                .filter(s -> s.group == group && s.primary())
                .mapToLong(s -> kernel.now() - s.ledSinceUs())
                .findFirst()
                .orElse(0);
    }

    private void comeBack(Try t) {
        VirtualPooler p = taker(t.pooler.number);
        if (p != null) {
            submit(new Try(p, t.cls, t.group, t.session, t.workUs, t.patience, t.askedUs, t.second, false), true);
        }
    }

    // ---- The run, and what it showed. ----

    /** Plays to the end, and a little longer for what is still open. */
    public Simulation run() {
        long longestUs = plan.site().kinds().stream()
                .mapToLong(k -> k.c().deadlineUs())
                .max()
                .orElse(0);
        kernel.runUntil(START_US + plan.durationUs() + longestUs + AFTERMATH_US);
        rules.end(kernel.now());
        return this;
    }

    public RunStatistics tally() {
        return tally;
    }

    public InvariantChecker rules() {
        return rules;
    }

    /** How many servers were knocked over while cold. */
    public long fallen() {
        return cluster.all().stream().filter(Server::fallen).count();
    }

    /** The largest multiple of its present capacity that any cold server was sent. */
    public double largestMultiple() {
        return cluster.all().stream().mapToDouble(Server::largestMultiple).max().orElse(0);
    }

    /** Attempts begun by poolers of one zone to servers of another, since the start. */
    public long sent(int from, int to) {
        return poolers.stream()
                .filter(p -> p.zone == from)
                .mapToLong(p -> p.sentTo[to])
                .sum();
    }

    /** Attempts of all poolers since the start. */
    public long attempts() {
        return poolers.stream().mapToLong(p -> p.counters.attempts).sum();
    }

    /** Faults that the program caught: none may be. */
    public long strayExceptions() {
        return poolers.stream().mapToLong(p -> p.counters.strayExceptions).sum();
    }

    /** In the order of their answers. */
    List<LostRead> lostReads() {
        return lostReads;
    }

    /** Cores' worth of work that all servers together can do now. */
    double capacity() {
        return cluster.all().stream()
                .filter(Server::up)
                .mapToDouble(Server::capacity)
                .sum();
    }

    /** Whether a group has a primary now. */
    boolean led(int group) {
        return cluster.all().stream().anyMatch(s -> s.group == group && s.primary());
    }

    /** Equal for equal runs, to the byte. */
    public String record() {
        StringBuilder out = new StringBuilder(tally.toString());
        poolers.forEach(p -> out.append('\n').append(p.counters));
        rules.rules()
                .forEach(r -> out.append('\n').append(r.name()).append(": ").append(r.broken()));
        return out.toString();
    }
}
