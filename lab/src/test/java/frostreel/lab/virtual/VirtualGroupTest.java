package frostreel.lab.virtual;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.cluster.Membership;
import frostreel.cluster.MembershipView;
import frostreel.cluster.Peer;
import frostreel.cluster.ReplicatedLog;
import frostreel.lab.model.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The group in virtual time holds to what the one over sockets is tested for. */
class VirtualGroupTest {
    private static final long SILENT_US = 2_000_000;
    private static final long SETTLED_US = 3_000_000;
    private final VirtualTime time = new VirtualTime(1_000_000_000);
    private final Map<String, Ears> ears = new TreeMap<>();
    private VirtualGroup group;

    private static final class Ears implements Membership.Listener {
        final List<MembershipView> views = new ArrayList<>();
        final List<String> heard = new ArrayList<>();
        final Set<String> suspects = new TreeSet<>();
        final List<String> failures = new ArrayList<>();
        Membership mine;

        @Override
        public void onViewChanged(MembershipView view, MembershipView before) {
            assertThat(before).isEqualTo(views.isEmpty() ? MembershipView.NONE : views.get(views.size() - 1));
            assertThat(view.number()).isGreaterThan(before.number());
            assertThat(view.members()).contains(mine.self());
            views.add(view);
        }

        @Override
        public void onSuspected(Peer peer) {
            suspects.add(peer.name());
        }

        @Override
        public void onMessage(Peer from, byte[] message) {
            heard.add(from.name() + ":" + new String(message));
        }

        @Override
        public void onJoinFailed(String why) {
            failures.add(why);
        }

        List<String> sees() {
            return mine.view().members().stream().map(Peer::name).toList();
        }
    }

    private Ears join(String name, long life) {
        Ears member = new Ears();
        member.mine = group.join(name, life, member);
        ears.put(name, member);
        return member;
    }

    private void start(int count, long seed) {
        Set<String> names = new TreeSet<>();
        IntStream.range(0, count).forEach(i -> names.add(name(i)));
        group = new VirtualGroup(time, new SplittableRandom(seed), names, SILENT_US, 1_000);
        names.forEach(n -> join(n, 1));
        pass(SETTLED_US);
        ears.values().forEach(e -> assertThat(e.sees()).containsExactlyElementsOf(names));
    }

    private static String name(int index) {
        return String.format("p%03d", index);
    }

    private void pass(long us) {
        time.runUntil(time.now() + us);
    }

    @Test
    void aCutBothWaysMakesTwoPartsAndHealingMergesThem() {
        start(5, 1);
        cut(true, 2, 5);
        pass(SETTLED_US);
        assertThat(ears.get("p000").sees()).containsExactly("p000", "p001");
        assertThat(ears.get("p004").sees()).containsExactly("p002", "p003", "p004");
        assertThat(ears.get("p000").suspects).containsExactly("p002", "p003", "p004");
        cut(false, 2, 5);
        pass(SETTLED_US);
        for (Ears e : ears.values()) {
            assertThat(e.sees()).hasSize(5);
            assertThat(e.mine.view().merged()).isTrue();
        }
    }

    private void cut(boolean isCut, int first, int count) {
        for (int a = 0; a < first; a++) {
            for (int b = first; b < count; b++) {
                group.cut(name(a), name(b), isCut);
                group.cut(name(b), name(a), isCut);
            }
        }
    }

    @Test
    void oneThatHearsButIsNotHeardIsOut() {
        start(3, 1);
        group.cut("p002", "p000", true);
        group.cut("p002", "p001", true);
        ears.get("p000").mine.broadcast("still".getBytes());
        ears.get("p002").mine.broadcast("lost".getBytes());
        pass(SETTLED_US);
        assertThat(ears.get("p002").heard).containsExactly("p000:still");
        assertThat(ears.get("p001").heard).containsExactly("p000:still");
        assertThat(ears.get("p000").sees()).containsExactly("p000", "p001");
        assertThat(ears.get("p002").sees()).containsExactly("p002");
    }

    @Test
    void aCutShorterThanSilenceChangesNoView() {
        start(3, 1);
        cut(true, 1, 3);
        pass(SILENT_US / 2);
        cut(false, 1, 3);
        pass(2 * SETTLED_US);
        ears.values().forEach(e -> assertThat(e.views).hasSize(1));
    }

    @Test
    void aPausedOneIsOutHearsWhatCameOnWakingAndIsTakenInAgain() {
        start(3, 1);
        group.pause("p001", true);
        ears.get("p000").mine.broadcast("news".getBytes());
        pass(SETTLED_US);
        assertThat(ears.get("p000").sees()).containsExactly("p000", "p002");
        assertThat(ears.get("p001").sees()).hasSize(3);
        assertThat(ears.get("p001").heard).isEmpty();
        group.pause("p001", false);
        assertThat(ears.get("p001").heard).containsExactly("p000:news");
        pass(SETTLED_US);
        ears.values().forEach(e -> assertThat(e.sees()).hasSize(3));
    }

    @Test
    void messagesKeepTheirOrderThoughTheWayGetsShorter() {
        start(2, 1);
        Membership first = ears.get("p000").mine;
        group.delay("p000", "p001", 500_000);
        first.send(ears.get("p001").mine.self(), "one".getBytes());
        group.delay("p000", "p001", 0);
        first.broadcast("two".getBytes());
        pass(400_000);
        assertThat(ears.get("p001").heard).isEmpty();
        pass(200_000);
        assertThat(ears.get("p001").heard).containsExactly("p000:one", "p000:two");
        assertThatThrownBy(() -> first.broadcast(new byte[Membership.MAX_MESSAGE_BYTES + 1]))
                .hasMessageContaining("at most");
    }

    @Test
    void aLeaverIsNotSuspectedAndItsNextLifeIsAnotherPeer() {
        start(3, 1);
        Ears old = ears.get("p001");
        old.mine.leave();
        pass(10_000);
        assertThat(ears.get("p000").sees()).containsExactly("p000", "p002");
        assertThat(ears.get("p000").suspects).isEmpty();
        ears.get("p000").mine.send(old.mine.self(), "gone".getBytes());
        join("p001", 2);
        pass(10_000);
        assertThat(ears.get("p000").mine.view().members()).contains(new Peer("p001", 2));
        assertThat(old.heard).isEmpty();
        assertThat(ears.get("p001").heard).isEmpty();
    }

    @Test
    void whoIsNotNamedIsRefused() {
        start(2, 1);
        assertThat(join("other", 1).failures).isEmpty();
        pass(SETTLED_US);
        assertThat(ears.remove("other").failures).containsExactly("other is not named");
        ears.values().forEach(e -> assertThat(e.sees()).containsExactly("p000", "p001"));
    }

    /** A hundred poolers, and whatever happens to them, agree within their parts once it is over. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void aHundredAgreeOnceTheFaultsAreOver(long seed) {
        int count = 100;
        start(count, seed);
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < 300; i++) {
            String one = name(random.nextInt(count));
            String other = name(random.nextInt(count));
            switch (random.nextInt(4)) {
                case 0 -> group.cut(one, other, random.nextBoolean());
                case 1 -> group.pause(one, random.nextBoolean());
                case 2 -> {
                    group.kill(one);
                    join(one, i + 2);
                }
                default -> ears.get(one).mine.broadcast(other.getBytes());
            }
            pass(random.nextLong(200_000));
        }
        for (int a = 0; a < count; a++) {
            group.pause(name(a), false);
            for (int b = 0; b < count; b++) {
                group.cut(name(a), name(b), false);
            }
        }
        pass(SETTLED_US);
        MembershipView last = ears.get(name(0)).mine.view();
        assertThat(last.members()).hasSize(count);
        ears.values().forEach(e -> assertThat(e.mine.view()).isEqualTo(last));
    }

    /** One pooler's part in the log, with what it was told and answered. */
    private final class Scribe {
        final TreeMap<Long, String> told = new TreeMap<>();
        final Map<String, Long> answered = new TreeMap<>();
        final List<String> doubtful = new ArrayList<>();
        final ReplicatedLog log;

        Scribe(String name) {
            log = group.log(ears.get(name).mine, (number, entry) -> {
                assertThat(number).isEqualTo(told.isEmpty() ? 1 : told.lastKey() + 1);
                told.put(number, new String(entry));
            });
        }

        void propose(String entry) {
            log.propose(entry.getBytes(), new ReplicatedLog.ProposalListener() {
                @Override
                public void onCommitted(long number) {
                    answered.put(entry, number);
                }

                @Override
                public void onUnknown(String why) {
                    doubtful.add(entry);
                }
            });
        }
    }

    @Test
    void theSmallerPartChoosesNothingAndHearsAllOnceHealed() {
        start(5, 1);
        Scribe small = new Scribe("p000");
        Scribe large = new Scribe("p004");
        cut(true, 2, 5);
        small.propose("small");
        large.propose("large");
        pass(1_000_000);
        assertThat(large.told).containsOnly(Map.entry(1L, "large"));
        assertThat(small.told).isEmpty();
        pass(20_000_000);
        assertThat(small.doubtful).containsExactly("small");
        cut(false, 2, 5);
        pass(1_000_000);
        assertThat(small.told).isEqualTo(large.told);
        assertThatThrownBy(() -> small.log.propose(new byte[ReplicatedLog.MAX_ENTRY_BYTES + 1], null))
                .hasMessageContaining("at most");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aHundredAreToldTheSameWhateverIsCutPausedOrKilled(long seed) {
        int count = 100;
        start(count, seed);
        Map<String, Scribe> scribes = new TreeMap<>();
        ears.keySet().forEach(n -> scribes.put(n, new Scribe(n)));
        Map<Long, String> answered = new TreeMap<>();
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < 200; i++) {
            String one = name(random.nextInt(count));
            switch (random.nextInt(4)) {
                case 0 -> group.cut(one, name(random.nextInt(count)), random.nextBoolean());
                case 1 -> group.pause(one, random.nextBoolean());
                case 2 -> {
                    scribes.get(one).answered.forEach((entry, n) -> answered.put(n, entry));
                    group.kill(one);
                    join(one, i + 2);
                    scribes.put(one, new Scribe(one));
                }
                default -> scribes.get(one).propose("e" + i);
            }
            pass(random.nextLong(100_000));
        }
        for (int a = 0; a < count; a++) {
            group.pause(name(a), false);
            for (int b = 0; b < count; b++) {
                group.cut(name(a), name(b), false);
            }
        }
        pass(30_000_000);
        Map<Long, String> all = scribes.get(name(0)).told;
        assertThat(all).isNotEmpty();
        assertThat(all.values()).doesNotHaveDuplicates();
        for (Scribe s : scribes.values()) {
            assertThat(s.told).isEqualTo(all);
            s.answered.forEach((entry, n) -> answered.put(n, entry));
        }
        assertThat(all).containsAllEntriesOf(answered);
    }
}
