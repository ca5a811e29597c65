package frostreel.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

/** Every decision of the query router; its interface, events in and actions out, is {@link Router}.
 *
 * <p>The mechanism. Each group's members form a chain, ordered by id; its head is the member last heard as
 * primary. Writes and fresh reads go to the head. An answer that says primary fixes the head; a miss or a
 * failed connection proves that a write never ran, so it moves on to the next member of the chain; after a
 * time-out a write is sent again only by its key. A full round of misses puts the group on hold: writes wait
 * unsent while a walk probes one member after another, and are released when one answers as primary. Other
 * reads go to an own-zone replica known to be new enough, else to another zone's, and reach the primary only
 * when no replica can serve. Every send passes {@link #send}, which holds the rules; every request ends in an
 * OK or in {@link #giveUp}. */
public final class ChainRouter implements Router {
    // ---- Constants: each a ratio of a handed setting, or a starting value of the design page. ----

    /** The design's half second: the walk visits a member this often; a full round while on hold. */
    private static final long WALK_US = 500_000;

    private static final double SILENCE = 4; // Expected times without an answer: it hangs.
    /** Further attempts after doubt for each request, so that they never multiply an overload. */
    private static final double RETRY_SHARE = 0.2, RETRY_BURST = 10;

    private static final double FIRST_WINDOW = 4; // Attempts out to a member newly met or newly primary.
    private static final double CUT = 0.7; // Of a window, after a time-out, turn-away or late answer.
    private static final double TARGET = 0.5; // Of an aim: a mean time beyond it only makes a queue.
    private static final double WAIT = 0.45; // Of its time, a read that nothing was sent for waits; ours.
    private static final double SPARED = 0.6; // Of a primary's window, for reads no replica can serve.
    private static final double MEAN = 0.15; // Weight of one more sample in a running mean.
    private static final double FAIL_COST = 12; // Times dearer when all attempts fail.
    private static final double EQUAL = 1.25; // Members this close in cost are equals, and rotate.
    private static final double NEW_LINK = 1.5; // Times dearer when a connection must be opened.
    private static final int LINK_EVERY = 10; // Requests of a group for each further connection.
    private static final double FADE_US = 4e6; // Over which a member's bad marks fade.
    /** Commits of sessions and members that are gone are forgotten after so many of the longest deadlines. */
    private static final long KEEP = 20;

    private static final double CATCH_UP = 0.7; // Seconds, at the least, to make a second of the log up.
    private static final long LONG_AGO = Long.MIN_VALUE / 2;
    /** Of clients' places: beyond it who waits longest makes room; two processes of an upgrade share them. */
    private static final double OPEN = 0.375;

    private static final double LENGTHY = 4; // Times the mean work, that of a long query.
    private static final double PATIENT = 0.25; // Of its aim, a long query waits for its one replica.
    private static final double LEAVE = 0.8; // Of a replica's window, to short reads of any age.
    private static final double FULL = 0.9; // So much of its capacity in use, a primary is busy enough.
    private static final String SWEEP = "sweep";

    /** A member of a group, with what answers, probes and the list have told of it. */
    private final class MemberState {
        final String id;
        final GroupState group;
        int zone, kind, handle; // The locality policy's name for it.
        State state = State.UP;
        boolean drained;
        /** Listed from the start, or heard from: else it may be none of ours, whatever the list says. */
        boolean known;

        long goneAt;
        double weight = 1;
        long position; // A time up to which it has applied every commit: a lower bound that stays true.
        /** When it last was known primary or replica; an answer's word counts from its arrival. */
        long primaryAt = -1, replicaAt = -1;
        /** How far its last report stood behind, and when it last turned a read away. */
        long lag, reportAt = LONG_AGO, missAt = LONG_AGO;

        boolean probing;
        long askedAt = LONG_AGO;
        int out, links; // Attempts out, and connections held open as far as this router can tell.
        long linkedAt, progressAt, markedAt, cutAt;
        double ratio = 1, fail, slowest;
        final SlowStart.Member start;
        /** How many attempts may be out to it at once, grown by answers in time and cut by trouble. */
        double window = FIRST_WINDOW;

        boolean opening = true;
        long pausedUntil; // Turned away as full: left alone until then, longer each time.
        int turnedAway;

        MemberState(String named, GroupState in, long now) {
            id = named;
            group = in;
            start = slow.meet(now);
        }
    }

    private final class GroupState {
        final int number;
        final List<MemberState> chain = new ArrayList<>();
        final ArrayList<PendingRequest> held = new ArrayList<>(), parked = new ArrayList<>();
        MemberState head;
        long headAt = -1; // When the head was last heard as primary, and whether by an answer.
        MemberState start, keeper; // Where its long queries go.
        boolean headAnswered, holding, doubted;
        long walkAt, canaryAt, probedAt;
        int walk, turn, sinceLink;
        final Goodput goodput = new Goodput(spanUs);

        GroupState(int number) {
            this.number = number;
        }
    }

    private final class PendingRequest {
        final Request q;
        final RequestClass k;
        final GroupState g;
        final long arrivedUs;
        final boolean toHead;
        final int mostAttempts = set.limits().maxAttempts();
        final ArrayList<MemberState> missed = new ArrayList<>(4);
        MemberState on;
        int attempts, keyZone = -1; // The one zone that may know its key; -1 while it may go anywhere.
        long startedUs, sentAt, firstMaybe, notBefore, patienceUs;
        boolean mayHaveRun, parked, ended, crowded;

        PendingRequest(Request request, GroupState group, long now) {
            q = request;
            k = set.classes().get(q.cls());
            g = group;
            arrivedUs = now;
            toHead = k.access() == Access.WRITE || k.access() == Access.FRESH;
        }
    }

    private Settings set;
    /** Over about twice the span of the rule on cold members. */
    private final LongSupplier spanUs = () -> 2 * set.rules().fallUs();

    private final SlowStart slow;
    private final Actions act;
    private final LocalityPolicy localityPolicy;
    private final PeerCommits elsewhere;
    private final long sweepUs;
    private long keepUs;
    private double[] expect = {};
    private final Map<String, MemberState> nodes = new HashMap<>();
    private final Map<Integer, GroupState> groups = new TreeMap<>();
    /** The groups in which a request waits unsent; the sweep runs while there is one, over these alone. */
    private final Map<Integer, GroupState> waiting = new TreeMap<>();

    private boolean sweeping, started;
    private final Map<String, PendingRequest> calls = new HashMap<>();
    private final SessionCommits commits = new SessionCommits();
    private double retryTokens = RETRY_BURST;
    private double baseLag = WALK_US / 2.0;
    /** Where rotation begins: from the seed, so that routers do not all start at the same member. */
    private final int turnSeed;

    private final SplittableRandom draw;
    /** The mean work of a request in microseconds. */
    private double work = Double.MAX_VALUE;

    private final Goodput goodput = new Goodput(spanUs);

    public ChainRouter(Settings settings, Actions actions) {
        this(settings, actions, new NearestZonePolicy(settings.zone()));
    }

    public ChainRouter(Settings settings, Actions actions, LocalityPolicy localityPolicy) {
        this(settings, actions, localityPolicy, (now, session) -> 0);
    }

    public ChainRouter(Settings settings, Actions actions, LocalityPolicy localityPolicy, PeerCommits elsewhere) {
        act = actions;
        this.localityPolicy = localityPolicy;
        this.elsewhere = elsewhere;
        sweepUs = Math.max(settings.tickUs(), WALK_US / 50);
        slow = new SlowStart(settings);
        onSettings(settings);
        work = Arrays.stream(expect).min().orElse(work);
        draw = new SplittableRandom(settings.seed());
        turnSeed = (int) (draw.nextLong() >>> 40);
    }

    @Override
    public void onSettings(Settings settings) {
        set = settings;
        int known = expect.length;
        expect = Arrays.copyOf(expect, settings.classes().size());
        for (int i = 0; i < expect.length; i++) {
            RequestClass k = settings.classes().get(i);
            keepUs = Math.max(keepUs, KEEP * k.deadlineUs());
            expect[i] = i < known ? expect[i] : k.latencyObjectiveUs() / 5.0;
        }
        slow.settings(settings);
        localityPolicy.settings(settings);
    }

    // ---- The chain: who heads a group, and by what evidence. ----

    @Override
    public void onMembers(long now, ListKind kind, List<Member> members) {
        boolean first = !started;
        started = true;
        if (first && set.limits().subscribe()) {
            act.subscribe();
        }
        if (kind == ListKind.FAILED) {
            if (!first && set.limits().subscribe()) {
                act.setTimer(WALK_US, "subscribe");
            }
            return;
        }
        if (kind != ListKind.CHANGES) {
            nodes.values().forEach(n -> n.state = State.GONE);
        }
        for (Member m : members) {
            listed(now, m, first);
        }
        nodes.values().forEach(n -> slow.usable(n.start, usable(n)));
        for (GroupState g : groups.values()) {
            g.chain.removeIf(n -> forgotten(now, n) && forget(n));
            if (g.head != null && !usable(g.head)) {
                loseHead(g);
            }
        }
    }

    private void listed(long now, Member m, boolean atStart) {
        MemberState n = nodes.get(m.id());
        if (n == null) {
            GroupState g = groups.computeIfAbsent(m.group(), GroupState::new);
            n = new MemberState(m.id(), g, now);
            n.known = atStart;
            n.handle = localityPolicy.memberHandle(m.group(), m.zone());
            n.progressAt = n.markedAt = now;
            nodes.put(m.id(), n);
            int at = 0;
            while (at < g.chain.size() && g.chain.get(at).id.compareTo(n.id) < 0) {
                at++;
            }
            g.chain.add(at, n);
        }
        if (slow.listed(now, n.start, m)) {
            n.fail = 0;
            n.ratio = 1;
        }
        n.zone = m.zone();
        n.kind = m.kind();
        n.weight = m.weight();
        n.state = m.state();
        n.drained |= m.state() == State.DRAINING;
        if (m.primary() && usable(n)) {
            n.group.start = n;
            if (n.group.headAt < 0 && n.replicaAt < 0) {
                n.primaryAt = Math.max(n.primaryAt, 0);
                setHead(now, n, 0, false);
            }
        }
    }

    private boolean forgotten(long now, MemberState n) {
        n.goneAt = n.state != State.GONE ? 0 : n.goneAt == 0 ? now : n.goneAt;
        boolean kept = n.known && (set.rules().onlyDrainingBinds() || now - n.goneAt <= keepUs);
        return n.goneAt > 0 && n.out == 0 && !kept;
    }

    private boolean forget(MemberState n) {
        localityPolicy.left(n.handle);
        slow.forget(n.start);
        return nodes.remove(n.id, n);
    }

    private boolean usable(MemberState n) {
        return n.state == State.UP || n.state == State.GONE && set.rules().onlyDrainingBinds() && !n.drained;
    }

    /** Role evidence: an answer beats a probe beats the list, and what is older than the head's is passed
     * over. */
    private void noteRole(long now, MemberState n, Role role, long at, boolean answer) {
        GroupState g = n.group;
        if (role == Role.PRIMARY && at > n.replicaAt) {
            n.primaryAt = Math.max(n.primaryAt, at);
            boolean open = g.head == null || g.doubted || !g.headAnswered;
            if (!usable(n)) {
                return;
            }
            if (g.head == n) {
                g.headAt = Math.max(g.headAt, at);
                g.headAnswered |= answer;
            } else if (at > g.headAt && (answer || open)) {
                setHead(now, n, at, answer);
            }
        } else if (role == Role.REPLICA && at > n.primaryAt) {
            n.replicaAt = Math.max(n.replicaAt, at);
            if (g.head == n) {
                loseHead(g);
            }
        }
    }

    private void setHead(long now, MemberState n, long at, boolean answer) {
        GroupState g = n.group;
        if (g.holding || g.doubted) {
            n.window = Math.min(n.window, FIRST_WINDOW);
            n.opening = true;
        }
        g.head = g.start = n;
        g.headAt = at;
        g.headAnswered = answer;
        g.holding = g.doubted = false;
    }

    private void loseHead(GroupState g) {
        g.head = null;
        g.headAnswered = false;
        g.doubted = false;
    }

    /** The next of the chain for a write: from the head or where it last was, each once, strangers last. */
    private MemberState next(PendingRequest c) {
        List<MemberState> chain = c.g.chain;
        int from = c.g.start == null ? 0 : Math.max(0, chain.indexOf(c.g.start));
        for (int i = 0; i < 2 * chain.size(); i++) {
            MemberState n = chain.get((from + i) % chain.size());
            boolean last = !n.known || c.keyZone >= 0 && n.zone != c.keyZone;
            if (usable(n) && !c.missed.contains(n) && (!last || i >= chain.size())) {
                return n;
            }
        }
        return null;
    }

    /** The walk: probes the next member, once a group; a full round each half second where as many wait, less
     * where fewer do, as every router walks so. A head that answered of late needs none. */
    private void walk(long now, GroupState g) {
        boolean urgent = g.head == null || g.holding || g.doubted;
        long step = WALK_US / Math.max(1, Math.min(g.chain.size(), g.held.size()));
        boolean idle = !urgent && (g.held.isEmpty() || now - g.headAt < KEEP * WALK_US / 5);
        if (now - g.walkAt < step || g.chain.isEmpty() || idle) {
            return;
        }
        g.walkAt = now;
        for (int i = 0; i < g.chain.size(); i++) {
            MemberState n = g.chain.get(g.walk++ % g.chain.size());
            if (!usable(n) || n.probing) {
                continue;
            }
            if (set.limits().probes() == Probes.REPORT) {
                probe(now, n);
                return;
            }
            for (int j = 0; urgent && j < g.held.size(); j++) {
                PendingRequest c = g.held.get(j);
                if (!c.mayHaveRun && send(now, c, n, WALK_US)) {
                    g.held.remove(j);
                    return;
                }
            }
        }
    }

    private void probe(long now, MemberState n) {
        if (set.limits().probes() != Probes.NONE && !n.probing && usable(n)) {
            n.probing = true;
            n.askedAt = now;
            act.probe(n.id);
        }
    }

    @Override
    public void onProbe(long now, String memberId, boolean ok, long tookUs, Report report) {
        MemberState n = nodes.get(memberId);
        if (n == null) {
            return;
        }
        n.probing = false;
        n.group.probedAt = 0;
        n.known |= ok;
        localityPolicy.probed(now, n.handle, ok);
        if (ok && report != null) {
            learnReport(now, n, report);
        }
        pump(now, n.group);
    }

    private void learnReport(long now, MemberState n, Report r) {
        slow.reported(n.start, r.util());
        if (r.positionUs() > 0) {
            n.position = Math.max(n.position, r.positionUs());
            n.reportAt = now;
            n.lag = Math.max(0, now - n.position);
            baseLag = Math.min(baseLag + n.lag * 0.01, n.lag);
        }
        long at = r.positionUs() > 0 ? r.positionUs() : now - WALK_US;
        noteRole(now, n, r.role(), at, false);
    }

    // ---- Writes, and reads that must be current. ----

    @Override
    public void onRequest(long now, Request q) {
        retryTokens = Math.min(RETRY_BURST, retryTokens + RETRY_SHARE);
        GroupState g = groups.computeIfAbsent(q.group(), GroupState::new);
        PendingRequest c = new PendingRequest(q, g, now);
        calls.put(q.id(), c);
        c.crowded = jammed(c) && draw.nextDouble() < g.goodput.excess(now, goodput);
        if (c.crowded) {
            giveUp(now, c);
        } else {
            route(now, c);
        }
        if (set.limits().concurrentRequestLimit() > 0
                && calls.size() > OPEN * set.limits().concurrentRequestLimit()) {
            waiting.values().stream()
                    .flatMap(w -> Stream.concat(w.held.stream(), w.parked.stream()))
                    .min(Comparator.comparingLong(w -> w.arrivedUs))
                    .ifPresent(oldest -> {
                        oldest.g.held.remove(oldest);
                        oldest.g.parked.remove(oldest);
                        giveUp(now, oldest);
                    });
        }
    }

    /** Whether a member where it may go lets out one attempt at a time: a slow replica jams no write. */
    private boolean jammed(PendingRequest c) {
        return c.toHead
                ? c.g.head != null && !c.g.doubted && c.g.head.window <= 1
                : c.g.chain.stream().anyMatch(n -> n.window <= 1);
    }

    private void conclude(long now, PendingRequest c, double worth) {
        if (!c.ended && (worth > 0 || c.crowded)) { // Refusing cures no error, and no want of a primary.
            goodput.add(now, worth);
            c.g.goodput.add(now, worth);
        }
        c.ended = true;
    }

    private void route(long now, PendingRequest c) {
        if (!c.toHead) {
            routeRead(now, c);
        } else if (spent(now, c)) {
            giveUp(now, c);
        } else {
            enqueue(c, c.g.held, c.g.held.size());
            pump(now, c.g);
        }
    }

    /** Only a request that waits keeps the sweep going: an idle router costs nobody anything. */
    private void enqueue(PendingRequest c, List<PendingRequest> queue, int at) {
        queue.add(at, c);
        waiting.put(c.g.number, c.g);
        if (!sweeping) {
            sweeping = true;
            act.setTimer(sweepUs, SWEEP);
        }
    }

    /** Whether nothing more may be tried: time, attempts or the key's window have run out. */
    private boolean spent(long now, PendingRequest c) {
        return now + 2 * sweepUs >= c.q.deadlineUs()
                || c.attempts >= c.mostAttempts
                || c.mayHaveRun
                        && (c.k.idempotency() == Idempotency.NON_IDEMPOTENT
                                || c.k.idempotency() == Idempotency.KEYED
                                        && now + sweepUs > c.firstMaybe + c.k.windowUs());
    }

    /** Lets out what waits: held writes as the head's window allows, then parked reads. Newest first: oldest
     * first, a backlog makes every request late; this way only those that are late already wait on. */
    private void pump(long now, GroupState g) {
        doubt(now, g);
        boolean canary = g.doubted && now - g.canaryAt >= WALK_US;
        for (int i = g.held.size() - 1; i >= 0; i--) {
            PendingRequest c = g.held.get(i);
            if (g.holding || g.head != null && !g.doubted && !room(now, g.head, 1)) {
                break;
            }
            if (now < c.notBefore || g.doubted && (!canary || c.k.idempotency() == Idempotency.NON_IDEMPOTENT)) {
                continue;
            }
            MemberState to = g.head != null ? g.head : next(c);
            if (to == null) {
                g.holding = true;
                break;
            }
            if (send(now, c, to, writeTimeout(now, c, to))) {
                g.held.remove(i);
                if (g.doubted) {
                    g.canaryAt = now;
                    canary = false;
                }
            }
        }
        for (int i = g.parked.size() - 1; i >= 0; i--) {
            PendingRequest c = g.parked.get(i);
            c.parked = false;
            routeRead(now, c);
        }
        g.parked.removeIf(c -> !c.parked);
    }

    /** A primary that says it is busy, or that says nothing and was late of late, is not silent: the same
     * write again would only add to its work. */
    private long writeTimeout(long now, PendingRequest c, MemberState n) {
        long left = c.q.deadlineUs() - now;
        double util = slow.util(n.start);
        if (c.k.idempotency() == Idempotency.NON_IDEMPOTENT || util >= FULL || util < 0 && n.window < FIRST_WINDOW) {
            return left;
        }
        long t = (long) Math.max(c.k.latencyObjectiveUs(), SILENCE * expected(c, n, now));
        boolean again = c.attempts + 1 < c.mostAttempts
                && (c.k.idempotency() == Idempotency.IDEMPOTENT
                        || now + t + sweepUs < (c.mayHaveRun ? c.firstMaybe : now) + c.k.windowUs());
        return again ? Math.min(left, t) : left;
    }

    // ---- Reads: the pick of a replica. ----

    /** Whether sessions' writes are remembered here, and this is one. */
    private boolean marks(PendingRequest c) {
        return c.k.access() == Access.WRITE && set.sessionTracking() == SessionTracking.REMEMBERED;
    }

    private long need(long now, PendingRequest c) {
        return switch (c.k.access()) {
            case BOUNDED -> now - c.k.boundUs() + 2000;
            case SESSION -> {
                if (set.sessionTracking() == SessionTracking.CARRIED) {
                    yield c.q.sinceWriteUs() <= 0 ? 0 : c.arrivedUs - c.q.sinceWriteUs() + 2000;
                }
                yield Math.max(commits.need(now, c.q.session()), elsewhere.boundUs(now, c.q.session()));
            }
            case ANY -> 0;
            default -> Long.MAX_VALUE;
        };
    }

    /** Whether a member checks and nothing says that it is too far behind; the baseline is report age. */
    private boolean likely(long now, MemberState n, long need) {
        return set.stalenessCheck() != StalenessCheck.SILENT
                && now - n.missAt > WALK_US
                && now - need + set.limits().holdsForUs() >= n.lag - Math.min(baseLag, n.lag);
    }

    /** Whether a probe might show that a member has what is needed: that is not all too recent, and it was
     * not asked just now. A waiting read that asks on and on costs more than it is worth, and of one that
     * stood far behind each router would know without asking that it cannot have caught up yet. */
    private boolean provable(long now, MemberState n, long need) {
        long behind = n.lag - (now - need); // When it last told its position.
        return set.limits().probes() == Probes.REPORT
                && now - need > baseLag
                && now - n.askedAt > WALK_US / 2
                && now - n.reportAt > CATCH_UP * behind;
    }

    /** A member listed later gets reads once it answered a probe: a list may name what is none of ours. */
    private boolean stranger(long now, MemberState n) {
        if (!n.known && now - n.askedAt > KEEP * WALK_US / 2) {
            probe(now, n);
        }
        return !n.known && set.limits().probes() != Probes.NONE;
    }

    /** Whether to wait for a probe that is out and may tell a position, a tenth of the aim at most. */
    private boolean asks(long now, PendingRequest c) {
        if (c.patienceUs == 0) {
            c.patienceUs = now + Math.max(2 * set.tickUs(), c.k.latencyObjectiveUs() / 10);
        }
        boolean any = false;
        for (MemberState n : c.g.chain) {
            any |= n.probing && usable(n) && !c.missed.contains(n);
        }
        return any && now < c.patienceUs && set.limits().probes() == Probes.REPORT;
    }

    /** So much of its time gone, nothing sent: its client does better to ask elsewhere than to wait on. So
     * with a write while no primary is known; for room at one that is, it waits as long as it may. */
    private boolean stuck(long now, PendingRequest c) {
        double wait = WAIT * (c.q.deadlineUs() - c.arrivedUs);
        return c.attempts == 0 && now + 2 * sweepUs > c.arrivedUs + wait;
    }

    private void routeRead(long now, PendingRequest c) {
        GroupState g = c.g;
        boolean late = now + expect[c.q.cls()] / 2 > until(c) && (c.attempts > 0 || now > c.arrivedUs);
        if (late || stuck(now, c) || spent(now, c)) {
            giveUp(now, c);
            return;
        }
        if (now < c.notBefore) {
            park(c);
            return;
        }
        long need = need(now, c);
        boolean canary = g.doubted && now - g.canaryAt >= WALK_US && c.k.idempotency() == Idempotency.IDEMPOTENT;
        if (canary && !c.missed.contains(g.head) && send(now, c, g.head, readTimeout(now, c, g.head))) {
            g.canaryAt = now;
            return;
        }
        MemberState best = null;
        MemberState unproven = null;
        double bestCost = Double.MAX_VALUE;
        double askCost = Double.MAX_VALUE;
        boolean waits = false, denied = false;
        boolean longer = lengthy(c);
        double part = c.k.access() == Access.ANY && !longer ? LEAVE : 1;
        MemberState only = longer && now - c.arrivedUs < PATIENT * c.k.latencyObjectiveUs() ? keeper(now, c) : null;
        int size = g.chain.size();
        for (int i = 0; i < size; i++) {
            MemberState n = g.chain.get((turnSeed + g.turn + i) % size);
            if (n == g.head || !usable(n) || c.missed.contains(n) || stranger(now, n) || only != null && n != only) {
                continue;
            }
            double costFactor = localityPolicy.costFactor(now, n.handle);
            if (costFactor == Double.POSITIVE_INFINITY) {
                if (!n.probing && localityPolicy.healthCheckDue(now, n.handle)) {
                    probe(now, n);
                }
                continue;
            }
            boolean proven = n.position >= need || likely(now, n, need);
            if (proven
                    ? !room(now, n, part) || !slow.admits(now, n.start, c.q.cls())
                    : n.probing || !provable(now, n, need)) {
                waits = true;
                continue;
            }
            if (proven && !localityPolicy.admits(now, n.handle, c.q.cls())) {
                denied = true;
                continue;
            }
            double cost = cost(now, n)
                    * costFactor
                    / leisure(c, n)
                    * (linked(now, n) || g.sinceLink >= LINK_EVERY ? 1 : NEW_LINK);
            if (proven && cost * EQUAL < bestCost) {
                bestCost = cost;
                best = n;
            } else if (!proven && cost * EQUAL < askCost) {
                askCost = cost;
                unproven = n;
            }
        }
        if (best != null && send(now, c, best, readTimeout(now, c, best))) {
            g.turn++;
            return;
        }
        if (unproven != null && now - g.probedAt >= sweepUs) {
            g.probedAt = now;
            probe(now, unproven);
        }
        if (set.stalenessCheck() == StalenessCheck.SILENT && asks(now, c)) {
            park(c);
            return;
        }
        if (only == null
                && g.head != null
                && !g.doubted
                && !c.missed.contains(g.head)
                && room(now, g.head, SPARED)
                && localityPolicy.costFactor(now, g.head.handle) < Double.POSITIVE_INFINITY
                && localityPolicy.admits(now, g.head.handle, c.q.cls())
                && send(now, c, g.head, readTimeout(now, c, g.head))) {
            return;
        }
        if (denied && !waits && unproven == null) { // More than may be sent elsewhere, and no use in waiting.
            giveUp(now, c);
            return;
        }
        if (next(c) == null) {
            c.missed.clear();
            c.notBefore = now + WALK_US / 10;
        }
        park(c);
    }

    /** Whether an open connection is free: a new one costs the member work and the request time, and hundreds
     * of routers that each rotate over all members would fill their tables. */
    private boolean linked(long now, MemberState n) {
        return n.out < n.links * set.limits().requestsPerConnection()
                && now - n.linkedAt < set.limits().idleCloseUs();
    }

    /** A long query that any member may answer: its own work, not a queue, makes its time. */
    private boolean lengthy(PendingRequest c) {
        return c.k.access() == Access.ANY && expect[c.q.cls()] > LENGTHY * work;
    }

    /** The replica that a group's long queries keep to: one that holds any may apply nothing, so spread over
     * all they would leave none that is new enough for other reads. The furthest behind, as routers agree on
     * that one, and kept until another is well behind it or it can't serve. */
    private MemberState keeper(long now, PendingRequest c) {
        MemberState best = null;
        double furthest = -1;
        for (MemberState n : c.g.chain) {
            double costFactor = localityPolicy.costFactor(now, n.handle);
            if (n != c.g.head
                    && usable(n)
                    && n.known
                    && !c.missed.contains(n)
                    && now >= n.pausedUntil
                    && !silent(now, n)
                    && costFactor < Double.POSITIVE_INFINITY) {
                long behind = n.position == 0 ? 0 : now - n.position + (n == c.g.keeper ? 2 * WALK_US : 0);
                best = behind / costFactor > furthest ? n : best;
                furthest = Math.max(furthest, behind / costFactor);
            }
        }
        c.g.keeper = best != null ? best : c.g.keeper;
        return best;
    }

    /** A read that any member may answer leans to a replica that is behind and can serve little else, so that
     * long queries, which may stop a replica from applying, keep to few of them; the others stay fresh. */
    private double leisure(PendingRequest c, MemberState n) {
        return c.k.access() != Access.ANY
                ? 1
                : 1
                        + Math.min(1, expect[c.q.cls()] / WALK_US)
                                * Math.min(n.lag - Math.min(baseLag, n.lag), 4 * WALK_US)
                                / WALK_US;
    }

    /** Waits for room. A marked repeat waits behind first tries: part of its aim has gone, and under overload
     * repeats would else take the room in which first tries still make theirs. */
    private void park(PendingRequest c) {
        if (!c.parked && !c.g.parked.contains(c)) {
            enqueue(c, c.g.parked, c.q.repeated() ? 0 : c.g.parked.size());
        }
        c.parked = true;
    }

    /** Until when an answer is worth anything: the deadline, or the aim where lateness earns nothing. */
    private static long until(PendingRequest c) {
        return c.k.lateWeight() > 0
                ? c.q.deadlineUs()
                : Math.min(c.q.deadlineUs(), c.arrivedUs + c.k.latencyObjectiveUs());
    }

    /** Where no window bounds a member's queue, a time-out takes out of it what is past its use. */
    private long readTimeout(long now, PendingRequest c, MemberState n) {
        long left = (n.window <= 1 ? until(c) : c.q.deadlineUs()) - now;
        double mean = expected(c, n, now);
        double spare = c.arrivedUs + c.k.latencyObjectiveUs() - now - 1.5 * mean;
        return spare > SILENCE * mean && retryTokens >= 1 ? (long) Math.min(left, spare) : left;
    }

    // ---- Health: what outcomes say of a member, against its peers. ----

    private double fade(long now, MemberState n) {
        return Math.exp(-(now - n.markedAt) / FADE_US);
    }

    private double expected(PendingRequest c, MemberState n, long now) {
        return expect[c.q.cls()] * (1 + (n.ratio - 1) * fade(now, n));
    }

    private double cost(long now, MemberState n) {
        double f = fade(now, n);
        double c = (1 + (n.ratio - 1) * f) * (1 + 0.5 * n.out / Math.max(0.1, n.weight)) * (1 + FAIL_COST * n.fail * f);
        return silent(now, n) ? c * FAIL_COST : c;
    }

    private boolean silent(long now, MemberState n) {
        return n.out > 0 && now - n.progressAt > SILENCE * n.slowest;
    }

    /** The window: one bound against overload, hangs, crawling members and floods after a release alike. */
    private boolean room(long now, MemberState n, double share) {
        return now >= n.pausedUntil && n.out < Math.max(1, n.window * share);
    }

    private void widen(MemberState n) {
        n.turnedAway = 0;
        if (n.out + 1 >= n.window / 2) {
            n.window += n.opening ? 1 : 1 / n.window;
        }
    }

    private void narrow(long now, MemberState n, double aboutUs) {
        n.opening = false;
        if (now - n.cutAt > aboutUs) {
            n.window = Math.max(1, Math.min(n.window, n.out + 1) * CUT);
            n.cutAt = now;
        }
    }

    /** A member that turns away or cannot be reached does so at once, and would draw a storm of attempts. */
    private void pause(long now, MemberState n, PendingRequest c) {
        n.pausedUntil = now + Math.min(WALK_US, (long) expect[c.q.cls()] / 4 << Math.min(n.turnedAway++, 8));
    }

    private void mark(long now, MemberState n, double ratio, boolean failed) {
        double f = fade(now, n);
        n.fail = n.fail * f * (1 - 2 * MEAN) + (failed ? 2 * MEAN : 0);
        n.ratio = 1 + (n.ratio - 1) * f;
        if (ratio > 0) {
            n.ratio += MEAN * (Math.min(ratio, 10) - n.ratio);
        }
        n.markedAt = now;
    }

    @Override
    public void onOutcome(
            long now,
            String requestId,
            int attempt,
            String memberId,
            Outcome outcome,
            boolean closed,
            long tookUs,
            Role role,
            long positionUs,
            Report report) {
        PendingRequest c = calls.get(requestId);
        MemberState n = nodes.get(memberId);
        if (n == null || c == null || c.on == null) {
            return;
        }
        c.on = null;
        c.crowded = outcome == Outcome.OK || outcome == Outcome.REJECTED || outcome == Outcome.TIMEOUT;
        n.out--;
        n.linkedAt = now;
        localityPolicy.ended(now, n.handle, outcome, expect[c.q.cls()]);
        learnOutcome(now, c, n, outcome, tookUs, role, positionUs, report);
        if (!outcome.provesNotRun && !c.mayHaveRun) {
            c.mayHaveRun = true;
            c.firstMaybe = c.sentAt;
            c.keyZone = c.k.idempotency() == Idempotency.KEYED && c.k.deduplicationScope() == DeduplicationScope.ZONE
                    ? n.zone
                    : -1;
        }
        if (closed || c.ended || outcome == Outcome.OK) {
            double worth = now - c.arrivedUs <= c.k.latencyObjectiveUs() ? 1 : c.k.lateWeight();
            conclude(now, c, outcome == Outcome.OK ? worth : 0);
            calls.remove(requestId);
        } else {
            again(now, c, n, outcome);
        }
        pump(now, n.group);
    }

    private void learnOutcome(
            long now,
            PendingRequest c,
            MemberState n,
            Outcome o,
            long tookUs,
            Role role,
            long positionUs,
            Report report) {
        GroupState g = n.group;
        boolean write = c.k.access() == Access.WRITE;
        if (o == Outcome.OK || o == Outcome.ERROR || o == Outcome.REJECTED || o == Outcome.WRONG_ROLE_OR_STALE) {
            n.progressAt = now;
            n.known |= o != Outcome.ERROR;
        }
        if (n.out == 0) {
            n.slowest = 0;
        }
        if (report != null) {
            learnReport(now, n, report);
        }
        if (positionUs > 0) {
            n.position = Math.max(n.position, positionUs);
            n.lag = Math.max(0, now - n.position);
            n.reportAt = now;
        }
        noteRole(now, n, role, now, true);
        if (marks(c)) {
            commits.ended(now, c.q.session(), c.q.deadlineUs(), o, positionUs, keepUs);
        }
        if (o == Outcome.OK) {
            mark(now, n, tookUs / expect[c.q.cls()], false);
            expect[c.q.cls()] += 0.02 * (tookUs - expect[c.q.cls()]);
            if (n == g.head) {
                g.doubted = false;
            }
            slow.served(now, n.start, c.q.cls(), tookUs);
            if (tookUs > c.k.latencyObjectiveUs()
                    || !lengthy(c) && expected(c, n, now) > TARGET * c.k.latencyObjectiveUs()) {
                narrow(now, n, expect[c.q.cls()]);
            } else {
                widen(n);
            }
        } else if (o == Outcome.WRONG_ROLE_OR_STALE) {
            if (write) {
                noteRole(now, n, Role.REPLICA, now, true);
            } else {
                n.missAt = now;
                if (positionUs == 0) { // Else the answer has told how far behind it stands.
                    probe(now, n);
                }
            }
        } else if (o == Outcome.REJECTED) {
            narrow(now, n, expect[c.q.cls()]);
            pause(now, n, c);
        } else if (o != Outcome.CANCELLED && o != Outcome.NOT_SENT) {
            n.links = o == Outcome.RESET || o == Outcome.CONNECT_FAILED ? n.out : n.links;
            mark(now, n, 0, true);
            if (o != Outcome.ERROR) { // That came in time: a spoilt answer is no sign of a queue.
                narrow(now, n, expect[c.q.cls()]);
            }
            if (o == Outcome.CONNECT_FAILED) {
                pause(now, n, c);
                if (n == g.head) {
                    loseHead(g);
                    g.headAt = now;
                }
            }
        }
    }

    /** What becomes of a request whose attempt did not serve it. */
    private void again(long now, PendingRequest c, MemberState n, Outcome o) {
        if (o != Outcome.REJECTED || !c.toHead) {
            c.missed.add(n);
        }
        if (spent(now, c) || !o.provesNotRun && (retryTokens < 1 && c.k.idempotency() == Idempotency.IDEMPOTENT)) {
            giveUp(now, c);
            return;
        }
        if (!o.provesNotRun) {
            retryTokens = Math.max(0, retryTokens - 1);
        }
        if (!c.toHead) {
            routeRead(now, c);
            return;
        }
        if (o == Outcome.REJECTED || !o.provesNotRun) {
            c.notBefore = now + (WALK_US / 20 << Math.min(c.attempts, 5));
        }
        boolean round = c.g.head == null && next(c) == null;
        c.g.holding |= round;
        if (round || c.g.head != null) {
            c.missed.clear();
        }
        enqueue(c, c.g.held, c.g.held.size());
    }

    @Override
    public void onTimer(long now, String name) {
        if (!name.equals(SWEEP)) {
            act.subscribe();
            return;
        }
        for (GroupState g : List.copyOf(waiting.values())) {
            for (int i = 0; i < g.held.size(); i++) {
                PendingRequest c = g.held.get(i);
                if (spent(now, c) || g.head == null && stuck(now, c)) {
                    g.held.remove(i--);
                    giveUp(now, c);
                }
            }
            walk(now, g);
            pump(now, g);
        }
        waiting.values().removeIf(g -> g.held.isEmpty() && g.parked.isEmpty());
        sweeping = !waiting.isEmpty();
        if (sweeping) {
            act.setTimer(sweepUs, SWEEP);
        }
    }

    /** A head with attempts out and long silent is doubted; looked at when something is to be sent. */
    private void doubt(long now, GroupState g) {
        if (g.head != null && !g.doubted && silent(now, g.head)) {
            g.doubted = true;
            g.canaryAt = now;
        }
    }

    @Override
    public void onClientDisconnected(long now, String requestId) {
        PendingRequest c = calls.get(requestId);
        if (c == null || c.ended) {
            return;
        }
        conclude(now, c, 0);
        c.g.held.remove(c);
        c.g.parked.remove(c);
        if (c.on == null) {
            calls.remove(requestId);
        } else if (set.limits().cancel()) {
            act.cancel(requestId, c.attempts - 1);
        }
    }

    // ---- Guards: the one place that sends, and the one that ends. ----

    /** Whether it is new enough for a read, by its own word; the head is excused until it is heard as a
     * replica, or another as primary. */
    private boolean fresh(long now, PendingRequest c, MemberState n) {
        return set.stalenessCheck() != StalenessCheck.SILENT
                || c.k.access() == Access.WRITE
                || n.position >= need(now, c)
                || n == n.group.head && n.primaryAt > n.replicaAt;
    }

    /** Also whether its member was told to have started meanwhile: then it goes as one that is sent now. */
    @Override
    public boolean mayStillBegin(long now, String requestId) {
        PendingRequest c = calls.get(requestId);
        if (c == null || c.on == null || c.startedUs == c.on.start.startedUs()) {
            return c == null || c.on == null || fresh(now, c, c.on);
        }
        boolean stands = fresh(now, c, c.on) && slow.admits(now, c.on.start, c.q.cls());
        if (stands) {
            pay(c);
        }
        return stands;
    }

    private void pay(PendingRequest c) {
        slow.sent(c.on.start, c.q.cls());
        c.startedUs = c.on.start.startedUs();
    }

    /** The send gate: draining, group, attempts, deadline, repeats, freshness, cold members are held here. */
    private boolean send(long now, PendingRequest c, MemberState n, long timeoutUs) {
        if (c.ended
                || c.on != null
                || !usable(n)
                || n.group != c.g
                || spent(now, c)
                || !slow.admits(now, n.start, c.q.cls())) {
            return false;
        }
        if (!fresh(now, c, n) || c.keyZone >= 0 && n.zone != c.keyZone) {
            return false;
        }
        if (marks(c)) {
            commits.sent(now, c.q.session());
        }
        double effort = expect[c.q.cls()];
        work += MEAN * (effort - work);
        if (n.out == 0) {
            n.progressAt = now;
        }
        n.group.sinceLink = linked(now, n) ? n.group.sinceLink + 1 : 0;
        n.links = linked(now, n) ? n.links : n.out / set.limits().requestsPerConnection() + 1;
        n.linkedAt = now;
        n.out++;
        n.slowest = Math.max(n.slowest, Math.max(effort, expected(c, n, now)));
        if (!c.toHead) {
            localityPolicy.sent(now, n.handle, c.q.cls(), effort);
        }
        c.on = n;
        c.sentAt = now;
        pay(c);
        c.attempts++;
        act.send(c.q.id(), n.id, Math.max(1, Math.min(timeoutUs, c.q.deadlineUs() - now)));
        return true;
    }

    /** The final answer, at once: a refusal where trying again is harmless, else a failure. */
    private void giveUp(long now, PendingRequest c) {
        conclude(now, c, 0);
        calls.remove(c.q.id());
        boolean harmless = !c.mayHaveRun
                || c.k.idempotency() == Idempotency.IDEMPOTENT
                || c.k.idempotency() == Idempotency.KEYED && c.k.deduplicationScope() == DeduplicationScope.ALL;
        if (harmless) {
            act.reject(
                    c.q.id(),
                    set.limits().retryAfterAllowed()
                            ? Math.min(WALK_US, set.limits().maxRetryAfterUs())
                            : 0);
        } else {
            act.fail(c.q.id());
        }
    }
}
