package frostreel.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What members that started a short while ago may be sent: each router its part of what such a member can do
 * at the least, so that the sum of all routers pushes none over. It is pure: times are handed in, chance
 * comes from the seed.
 *
 * <p>Work is counted in the times in which a class's requests are answered where nothing waits: mean times
 * hold the queues, and under overload made a short query seem as dear as a long one.
 */
final class SlowStart {
    /** A member, as its list and its answers tell it. Owned by who asked for it with {@link #meet}. */
    static final class Member {
        private final DecayingRate served;
        private int kind;
        private double weight = 1;
        private boolean usable = true;
        private long startedUs;
        private long budgetAtUs;
        private double budget;
        /** Of a request's work, what has to be in the budget before it goes: drawn anew at each start. */
        private double part;
        /** What of its present capacity is in use, by its last report; below 0 where none has come. */
        private double util = -1;

        private Member(DecayingRate served) {
            this.served = served;
        }

        long startedUs() {
            return startedUs;
        }
    }

    /** Of what it takes to push a member over, with a full budget let out at once. */
    private static final double MOST_ROOM = 0.6;
    /** Of the rule's span, how much a budget may hold. */
    private static final double BURST = 0.5;
    /** So much of its capacity in use, a member is busy enough. */
    private static final double FULL = 0.9;
    /** Less than this in use tells nothing of a capacity. */
    private static final double LEAST_USE = 0.05;
    /** How much of a difference the least time takes over, from an answer that was quicker, and slower. */
    private static final double QUICKER = 0.2;

    private static final double SLOWER = 0.001;
    private final SplittableRandom draw;
    private final List<Member> members = new ArrayList<>();
    private Router.Settings set;
    private double[] leastUs = {};
    private boolean[] answered = {};
    private long beganUs = Long.MIN_VALUE;

    SlowStart(Router.Settings settings) {
        draw = new SplittableRandom(settings.seed()).split();
        settings(settings);
    }

    /** Classes that are known keep what was learned. */
    void settings(Router.Settings settings) {
        set = settings;
        int known = leastUs.length;
        leastUs = Arrays.copyOf(leastUs, settings.classes().size());
        answered = Arrays.copyOf(answered, leastUs.length);
        for (int i = known; i < leastUs.length; i++) {
            leastUs[i] = guessUs(i);
        }
    }

    /** A member newly listed. */
    Member meet(long nowUs) {
        beganUs = beganUs == Long.MIN_VALUE ? nowUs : beganUs;
        Member m = new Member(new DecayingRate(this::spanUs));
        m.budgetAtUs = nowUs;
        members.add(m);
        return m;
    }

    void forget(Member m) {
        members.remove(m);
    }

    /** What the list says of a member; whether that tells of another start than the last. */
    boolean listed(long nowUs, Member m, Router.Member entry) {
        m.kind = entry.kind();
        m.weight = entry.weight();
        boolean started = m.startedUs != entry.startedUs();
        if (started) {
            m.startedUs = entry.startedUs();
            m.util = -1;
            m.served.scale(warmth(nowUs, m)); // As cold as it is now.
            m.budget = 0;
            m.budgetAtUs = nowUs;
            m.part = draw.nextDouble();
        }
        return started;
    }

    /** Whether anything may be sent to it at all. */
    void usable(Member m, boolean isUsable) {
        m.usable = isUsable;
    }

    /** {@code util}: what of its present capacity is in use; not a number where its report did not tell. */
    void reported(Member m, double util) {
        m.util = util >= 0 ? Math.max(util, LEAST_USE) : m.util;
    }

    /** Its last report's use of its capacity, from 0; below 0 for none since it started. */
    double util(Member m) {
        return m.util;
    }

    /** An answer that served a request of this class. */
    void served(long nowUs, Member m, int cls, long tookUs) {
        double weight = !answered[cls] ? 1 : tookUs < leastUs[cls] ? QUICKER : SLOWER;
        leastUs[cls] += weight * (tookUs - leastUs[cls]);
        answered[cls] = true;
        m.served.add(nowUs, leastUs[cls]);
        double guessed = 0;
        double least = 0;
        for (int i = 0; i < leastUs.length; i++) {
            guessed += answered[i] ? guessUs(i) : 0;
            least += answered[i] ? leastUs[i] : 0;
        }
        for (int i = 0; i < leastUs.length; i++) {
            leastUs[i] = answered[i] ? leastUs[i] : guessUs(i) * least / guessed;
        }
    }

    /** Until the first answer of a class: by as much of its aim as the others' answers are of theirs. */
    private double guessUs(int cls) {
        return set.classes().get(cls).latencyObjectiveUs() / 5.0;
    }

    /** A request of this class goes to it. */
    void sent(Member m, int cls) {
        m.budget -= leastUs[cls];
    }

    /**
     * Whether it may be sent a request of this class: what it may do grows with its warmth, more where it
     * says that it has room, or where nothing tells how busy the others are: what they served they can do at
     * the least. A full budget and what comes meanwhile stay below what pushes it over. Each of hundreds of
     * routers may owe less than one request: what each waits for before its first one is drawn.
     */
    boolean admits(long nowUs, Member m, int cls) {
        double warmth = warmth(nowUs, m);
        if (warmth >= 1) {
            return true;
        }
        double most = Math.max(1, MOST_ROOM * set.rules().fallMultiple());
        double room = m.util > 0 ? Math.max(1, Math.min(FULL / m.util, most)) : most;
        double first = set.instances() > 0 ? warmth / set.instances() : 0; // One core.
        double perUs = Math.max(share(nowUs, m.kind) * warmth * m.weight * room, first);
        m.budget = Math.min(
                Math.max(perUs * set.rules().fallUs() * BURST, leastUs[cls]),
                m.budget + perUs * (nowUs - m.budgetAtUs));
        m.budgetAtUs = nowUs;
        return m.budget > m.part * leastUs[cls];
    }

    /**
     * This router's part of what a warm member of that kind can do: work it has had served there, in cores,
     * over what of all their capacity is in use by their own word. That holds where none is warm and where
     * this router has just begun, as the share of a served load does not; without reports, it is that. Whose
     * use is not told has the others'.
     */
    private double share(long nowUs, int kind) {
        double did = 0;
        double used = 0;
        double told = 0;
        double all = 0;
        for (Member o : members) {
            if (o.kind == kind && o.usable) {
                double whole = warmth(nowUs, o) * o.weight;
                did += o.served.at(nowUs);
                used += o.util > 0 ? o.util * whole : 0;
                told += o.util > 0 ? whole : 0;
                all += whole;
            }
        }
        double begun = -Math.expm1((beganUs - nowUs - 1) / (double) spanUs());
        return did / begun / (told > 0 ? used * all / told : all);
    }

    private double warmth(long nowUs, Member m) {
        return set.rules().warmth(nowUs, m.startedUs);
    }

    /** Over about twice the span of the rule on cold members. */
    private long spanUs() {
        return 2 * set.rules().fallUs();
    }
}
