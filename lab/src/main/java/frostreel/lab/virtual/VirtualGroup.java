package frostreel.lab.virtual;

import frostreel.cluster.Membership;
import frostreel.cluster.MembershipView;
import frostreel.cluster.Peer;
import frostreel.cluster.ReplicatedLog;
import frostreel.lab.model.Scheduler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The group of poolers in virtual time, for hundreds of them. It does not play a group protocol; it gives
 * what one promises: some time after ways or members changed, those that reach each other both ways have one
 * view, and what was sent within a view arrives in order or not at all. A pooler that hears but is not heard
 * is out, as one that is heard but does not hear.
 */
public final class VirtualGroup {
    /** Beyond the time after which silence counts, views come so much later at most. */
    private static final long SPREAD_US = 500_000;

    private static final long PROPOSAL_US = 10_000_000;
    private static final long AGAIN_US = 100_000;
    private final Scheduler kernel;
    private final SplittableRandom chance;
    private final Set<String> named;
    private final long silentUs;
    private final List<byte[]> entries = new ArrayList<>();
    private final Map<String, Member> present = new TreeMap<>();
    /** Who left with a word: nobody need be suspected first. */
    private final Set<Peer> farewells = new HashSet<>();
    /** Ways that are cut, from whom to whom, and since when. */
    private final Map<List<String>, Long> cuts = new HashMap<>();

    private final Map<List<String>, Long> delays = new HashMap<>();
    private final Map<List<String>, Long> lastArrivals = new HashMap<>();
    private final long usualDelayUs;

    /** {@code silentUs}: how long silence lasts until it counts; {@code delayUs}: a message's usual way. */
    public VirtualGroup(Scheduler kernel, SplittableRandom chance, Set<String> named, long silentUs, long delayUs) {
        this.kernel = kernel;
        this.chance = chance;
        this.named = Set.copyOf(named);
        this.silentUs = silentUs;
        usualDelayUs = delayUs;
    }

    /** A pooler's part in the group, for one life. */
    private final class Member implements Membership {
        private final Peer self;
        private final Listener listener;
        /** What came while it was paused. */
        private final Queue<Runnable> missed = new ArrayDeque<>();

        private MembershipView view = MembershipView.NONE;
        /** The newest view there is for it; it takes it only once it does not pause. */
        private MembershipView given = MembershipView.NONE;
        /** Null where it takes no part in the log. */
        private ReplicatedLog.Listener chosen;

        private long toldNumber;
        private boolean lags;
        private boolean paused;
        private long pausedAtUs;
        private boolean gone;

        Member(Peer self, Listener listener) {
            this.self = self;
            this.listener = listener;
        }

        @Override
        public Peer self() {
            return self;
        }

        @Override
        public MembershipView view() {
            return view;
        }

        @Override
        public void send(Peer to, byte[] message) {
            Membership.checkSize(message);
            if (!to.equals(self) && view.members().contains(to)) {
                carry(this, to, message);
            }
        }

        @Override
        public void broadcast(byte[] message) {
            Membership.checkSize(message);
            for (Peer to : view.members()) {
                if (!to.equals(self)) {
                    carry(this, to, message);
                }
            }
        }

        @Override
        public void leave() {
            if (!gone) {
                farewells.add(self);
                end(this);
                regroupIn(usualDelayUs);
            }
        }

        private void hears(Runnable event) {
            if (gone) {
                return;
            }
            if (paused) {
                missed.add(event);
            } else {
                event.run();
            }
        }

        private void takes(MembershipView next) {
            MembershipView before = view;
            view = next;
            next.left(before).stream().filter(p -> !farewells.contains(p)).forEach(listener::onSuspected);
            listener.onViewChanged(next, before);
        }
    }

    /** A start under a name; an earlier life of that name has ended by then. */
    public Membership join(String name, long life, Membership.Listener listener) {
        Member before = present.get(name);
        if (before != null) {
            end(before);
        }
        Member m = new Member(new Peer(name, life), listener);
        if (!named.contains(name)) {
            kernel.after(0, () -> m.hears(() -> listener.onJoinFailed(name + " is not named")));
            return m;
        }
        present.put(name, m);
        regroupIn(usualDelayUs);
        return m;
    }

    /**
     * A member's part in the majority's log; {@code chosen} hears all there is, and what comes. What was
     * chosen outlasts every life, as if all kept their folders.
     */
    public ReplicatedLog log(Membership member, ReplicatedLog.Listener chosen) {
        Member m = (Member) member;
        m.chosen = chosen;
        catchUp(m);
        return (entry, outcome) -> propose(m, entry, outcome);
    }

    private void propose(Member m, byte[] entry, ReplicatedLog.ProposalListener outcome) {
        ReplicatedLog.checkSize(entry);
        byte[] copy = entry.clone();
        long untilUs = kernel.now() + PROPOSAL_US;
        kernel.after(2 * usualDelayUs, () -> attempt(m, copy, outcome, untilUs));
    }

    /** Goes on until a majority is there to choose it; its answer may be lost on the way back. */
    private void attempt(Member m, byte[] entry, ReplicatedLog.ProposalListener outcome, long untilUs) {
        if (m.gone) {
            return;
        }
        if (kernel.now() >= untilUs) {
            m.hears(() -> outcome.onUnknown("no majority"));
        } else if (m.paused || partOf(m).size() <= named.size() / 2) {
            kernel.after(AGAIN_US, () -> attempt(m, entry, outcome, untilUs));
        } else {
            entries.add(entry);
            long number = entries.size();
            present.values().forEach(this::catchUp);
            kernel.after(2 * usualDelayUs, () -> {
                if (partOf(m).size() > named.size() / 2) {
                    m.hears(() -> outcome.onCommitted(number));
                } else {
                    kernel.after(PROPOSAL_US, () -> m.hears(() -> outcome.onUnknown("the answer was lost")));
                }
            });
        }
    }

    /** Those that reach each other now, this one among them; a paused one reaches nobody. */
    private List<Member> partOf(Member m) {
        return present.values().stream()
                .filter(o -> o == m || !o.paused && !m.paused && waysOpen(o, m))
                .toList();
    }

    private boolean waysOpen(Member a, Member b) {
        return !cuts.containsKey(List.of(a.self.name(), b.self.name()))
                && !cuts.containsKey(List.of(b.self.name(), a.self.name()));
    }

    /** Tells a member what was chosen, as soon as it is in touch with a majority; it asks until then. */
    private void catchUp(Member m) {
        if (m.chosen == null || m.lags) {
            return;
        }
        m.lags = true;
        kernel.after(usualDelayUs, () -> {
            m.lags = false;
            if (m.gone) {
                return;
            }
            if (m.paused || partOf(m).size() <= named.size() / 2) {
                m.lags = true;
                kernel.after(AGAIN_US, () -> {
                    m.lags = false;
                    catchUp(m);
                });
                return;
            }
            m.toldNumber = Math.max(m.toldNumber, entries.size() - ReplicatedLog.RETAINED_ENTRIES);
            while (m.toldNumber < entries.size()) {
                long number = ++m.toldNumber;
                m.hears(() -> m.chosen.onCommitted(number, entries.get((int) number - 1)));
            }
        });
    }

    /** The process is gone without a word. */
    public void kill(String name) {
        end(present.get(name));
        regroup();
    }

    private void end(Member m) {
        m.gone = true;
        present.remove(m.self.name(), m);
    }

    /** What one says does not reach the other, or does again. */
    public void cut(String from, String to, boolean isCut) {
        List<String> way = List.of(from, to);
        if (isCut ? cuts.putIfAbsent(way, kernel.now()) == null : cuts.remove(way) != null) {
            regroup();
        }
    }

    /** So much later what one says to the other arrives; 0 for the usual. */
    public void delay(String from, String to, long us) {
        delays.put(List.of(from, to), us);
    }

    /** A paused process does nothing, hears on waking what has come, and has been silent meanwhile. */
    public void pause(String name, boolean isPaused) {
        Member m = present.get(name);
        m.paused = isPaused;
        m.pausedAtUs = kernel.now();
        while (!isPaused && !m.paused && !m.missed.isEmpty()) {
            m.missed.poll().run();
        }
        regroup();
    }

    private void carry(Member from, Peer to, byte[] message) {
        Member m = present.get(to.name());
        List<String> way = List.of(from.self.name(), to.name());
        if (m == null || !m.self.equals(to) || cuts.containsKey(way)) {
            return;
        }
        long extraUs = delays.getOrDefault(way, 0L);
        long atUs = Math.max(kernel.now() + usualDelayUs + extraUs, lastArrivals.getOrDefault(way, 0L));
        lastArrivals.put(way, atUs);
        byte[] copy = message.clone();
        kernel.after(atUs - kernel.now(), () -> {
            if (!cuts.containsKey(way)) {
                m.hears(() -> m.listener.onMessage(from.self, copy));
            }
        });
    }

    /** Silence counts only after its time, and whoever notices first is a matter of chance. */
    private void regroup() {
        regroupIn(silentUs + chance.nextLong(SPREAD_US));
    }

    private void regroupIn(long us) {
        kernel.after(us, this::settle);
    }

    private boolean reach(Member a, Member b) {
        return !silent(cuts.get(List.of(a.self.name(), b.self.name())))
                && !silent(cuts.get(List.of(b.self.name(), a.self.name())));
    }

    private boolean silent(Long sinceUs) {
        return sinceUs != null && kernel.now() - sinceUs >= silentUs;
    }

    private void settle() {
        List<List<Member>> parts = new ArrayList<>();
        for (Member m : present.values()) {
            if (m.paused && silent(m.pausedAtUs)) {
                continue; // It keeps its view until it wakes; the others go on without it.
            }
            List<Member> mine = parts.stream()
                    .filter(p -> p.stream().allMatch(o -> reach(o, m)))
                    .findFirst()
                    .orElseGet(() -> {
                        List<Member> part = new ArrayList<>();
                        parts.add(part);
                        return part;
                    });
            mine.add(m);
        }
        parts.forEach(this::install);
    }

    private void install(List<Member> part) {
        List<Peer> peers = part.stream().map(m -> m.self).toList();
        if (part.stream().allMatch(m -> m.given.members().equals(peers))) {
            return;
        }
        long number = 1 + part.stream().mapToLong(m -> m.given.number()).max().orElse(0);
        boolean merged = part.stream()
                        .filter(m -> m.given != MembershipView.NONE)
                        .map(m -> m.given.members())
                        .distinct()
                        .count()
                > 1;
        MembershipView next = new MembershipView(number, peers, merged);
        for (Member m : part) {
            m.given = next;
            m.hears(() -> m.takes(next));
        }
    }
}
