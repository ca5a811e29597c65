package frostreel.lab.virtual;

import frostreel.broker.Broker;
import frostreel.broker.Caller;
import frostreel.lab.model.Cluster;
import frostreel.lab.model.Server;
import frostreel.lab.model.VirtualTime;
import frostreel.lab.rules.RuleBook;
import frostreel.lab.rules.Witness.Answer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import willowfield.Router;

/** Poolers, servers, links, clients and a list that comes late, on virtual time: one seed, one run. */
public final class World {
    /** Any time will do; this one can be told from a span of time. */
    private static final long START_US = 1_700_000_000_000_000L;
    private static final int SESSIONS = 500;
    /** What is asked near the end is still answered. */
    private static final long AFTERMATH_US = 10_000_000;

    private final Plan plan;
    private final VirtualTime kernel = new VirtualTime(START_US);
    private final Cluster cluster;
    private final List<VirtualPooler> poolers = new ArrayList<>();
    private final Tally tally;
    private final RuleBook rules;
    private final SplittableRandom chance;
    private final SplittableRandom[] clients;
    private final long[][] lastWriteUs;
    /** What each pooler is asked, as a multiple of the mean. */
    private final double[] asked;
    private long ids;

    public World(Plan plan, BiFunction<Router.Settings, Router.Actions, Router> maker) {
        this.plan = plan;
        SplittableRandom seeds = new SplittableRandom(plan.seed());
        chance = seeds.split();
        tally = new Tally((int) (plan.durationUs() / 1_000_000), plan.zones(), Plan.KINDS.size());
        Router.Settings told = plan.settings(0, 0);
        rules = new RuleBook(told.limits(), told.rules());
        cluster = new Cluster(kernel, chance, plan.zones(), plan.groups(), plan.cores(), this::tellLate);
        int count = plan.zones() * plan.poolersPerZone();
        clients = new SplittableRandom[count];
        lastWriteUs = new long[count][SESSIONS];
        asked = new double[count];
        Arrays.fill(asked, 1);
        for (int i = 0; i < count; i++) {
            int zone = i % plan.zones();
            clients[i] = seeds.split();
            VirtualPooler p = new VirtualPooler(i, zone, plan.zones(), kernel, cluster.links(),
                    cluster.servers(), rules, plan.settings(zone, seeds.nextLong()), maker);
            poolers.add(p);
            p.told(Router.ListKind.FULL, cluster.all().stream().map(Cluster::entry).toList());
            nextArrival(p);
        }
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
        Router.Member entry = Cluster.entry(s);
        for (VirtualPooler p : poolers) {
            kernel.after(plan.listLagUs() + chance.nextLong(50_000),
                    () -> p.told(Router.ListKind.CHANGES, List.of(entry)));
        }
    }

    // ---- Clients. ----

    private void nextArrival(VirtualPooler p) {
        SplittableRandom r = clients[p.number];
        double gapUs = -Math.log(1 - r.nextDouble()) * 1e6 / plan.perPooler() / asked[p.number];
        kernel.after((long) gapUs, () -> {
            if (kernel.now() - START_US < plan.durationUs()) {
                ask(p, r);
                nextArrival(p);
            }
        });
    }

    private void ask(VirtualPooler p, SplittableRandom r) {
        double draw = r.nextDouble();
        int cls = 0;
        while (cls < Plan.KINDS.size() - 1 && draw >= Plan.KINDS.get(cls).share()) {
            draw -= Plan.KINDS.get(cls++).share();
        }
        Plan.Kind kind = Plan.KINDS.get(cls);
        double work = kind.leastUs() + r.nextDouble() * (kind.mostUs() - kind.leastUs());
        int session = r.nextInt(SESSIONS);
        double patience = 0.4 + 0.6 * r.nextDouble();
        tally.requests++;
        tally.asked(second(), p.zone, cls, kind.c().worth());
        submit(new Try(p, cls, session % plan.groups(), session, work, patience, kernel.now(), second(),
                r.nextBoolean() && plan.clientRetries()), false);
    }

    private int second() {
        return (int) ((kernel.now() - START_US) / 1_000_000);
    }

    /** A client's request, with what its retry needs. */
    private record Try(VirtualPooler pooler, int cls, int group, int session, double workUs, double patience,
            long askedUs, int second, boolean mayRetry) {}

    private void submit(Try t, boolean again) {
        Plan.Kind kind = Plan.KINDS.get(t.cls);
        Router.RequestClass c = kind.c();
        String id = Long.toString(++ids, 36);
        long now = kernel.now();
        long deadlineUs = now + (long) (c.deadlineUs() * t.patience);
        long wroteUs = lastWriteUs[t.pooler.number][t.session];
        boolean reads = c.access() == Router.Access.SESSION;
        rules.asked(now, t.pooler.number, id, c, deadlineUs);
        t.pooler.submit(new Broker.Ask(id, t.cls, t.session, t.group, deadlineUs,
                reads && wroteUs > 0 ? now - wroteUs : 0, again),
                new VirtualPooler.Order(id, t.workUs, c.access() == Router.Access.WRITE, c.boundUs(),
                        reads ? wroteUs : 0),
                new Caller() {
                    @Override public void served(byte[] answer) {
                        tally.served++;
                        rules.answered(kernel.now(), t.pooler.number, id, Answer.SERVED);
                        long took = kernel.now() - t.askedUs;
                        tally.got(t.second, t.pooler.zone, t.cls,
                                c.worth() * (took <= c.aimUs() ? 1 : c.lateWorth()));
                        if (c.access() == Router.Access.WRITE) {
                            lastWriteUs[t.pooler.number][t.session] = kernel.now();
                        }
                    }

                    @Override public void refused(long adviceUs) {
                        tally.refused++;
                        rules.answered(kernel.now(), t.pooler.number, id, Answer.REFUSED);
                        if (t.mayRetry && !again) {
                            tally.retries++;
                            kernel.after(Math.max(adviceUs, 50_000), () -> submit(t, true));
                        }
                    }

                    @Override public void failed() {
                        tally.failed++;
                        rules.answered(kernel.now(), t.pooler.number, id, Answer.FAILED);
                    }

                    @Override public void cancelled() {
                        throw new IllegalStateException("no client of this model cancels");
                    }

                    @Override public boolean waits() {
                        return true;
                    }
                });
    }

    // ---- The run, and what it showed. ----

    /** Plays to the end, and a little longer for what is still open. */
    public World run() {
        kernel.runUntil(START_US + plan.durationUs() + AFTERMATH_US);
        rules.end(kernel.now());
        return this;
    }

    public Tally tally() {
        return tally;
    }

    public RuleBook rules() {
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
        return poolers.stream().filter(p -> p.zone == from).mapToLong(p -> p.sentTo[to]).sum();
    }

    /** Attempts of all poolers since the start. */
    public long attempts() {
        return poolers.stream().mapToLong(p -> p.counters.attempts).sum();
    }

    /** Faults that the program caught: none may be. */
    public long strayExceptions() {
        return poolers.stream().mapToLong(p -> p.counters.strayExceptions).sum();
    }

    /** Cores' worth of work that all servers together can do now. */
    double capacity() {
        return cluster.all().stream().filter(Server::up).mapToDouble(Server::capacity).sum();
    }

    /** Whether a group has a primary now. */
    boolean led(int group) {
        return cluster.all().stream().anyMatch(s -> s.group == group && s.primary());
    }

    /** Equal for equal runs, to the byte. */
    public String record() {
        StringBuilder out = new StringBuilder(tally.toString());
        poolers.forEach(p -> out.append('\n').append(p.counters));
        rules.rules().forEach(r -> out.append('\n').append(r.name()).append(": ").append(r.broken()));
        return out.toString();
    }
}
