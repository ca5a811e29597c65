package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.cluster.ReplicatedLog;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a majority chose has one number for ever, whatever is cut, ends or starts again. */
class ReplicatedLogTest extends GroupRig {
    private static final int MOST_TRIES = 6;

    @TempDir
    Path folder;

    private long life;

    private void all(int count) throws Exception {
        life++;
        String[] names = new String[count];
        for (int i = 0; i < count; i++) {
            names[i] = "p" + i;
            members.add(new Member(names[i], i, life, folder));
        }
        for (Member m : members) {
            m.sees(names);
        }
    }

    private static CompletableFuture<Long> propose(Member m, String entry) {
        CompletableFuture<Long> number = new CompletableFuture<>();
        m.owner.execute(() -> m.group.log().propose(entry.getBytes(), new ReplicatedLog.ProposalListener() {
            @Override
            public void onCommitted(long n) {
                number.complete(n);
            }

            @Override
            public void onUnknown(String why) {
                number.completeExceptionally(new IllegalStateException(why));
            }
        }));
        return number;
    }

    /**
     * Proposes until it is known what was chosen, each time under another name: how long a majority needs to
     * find a new leader is the machine's matter, and a proposal is not told of for ever.
     */
    private static void surely(Member m, String entry, Map<Long, String> told) throws Exception {
        ExecutionException last = null;
        for (int i = 0; i < MOST_TRIES; i++) {
            try {
                String name = i == 0 ? entry : entry + ", try " + i;
                told.put(propose(m, name).get(), name);
                return;
            } catch (ExecutionException unknown) {
                last = unknown;
            }
        }
        throw last;
    }

    private static List<String> hears(Member m, int count) throws InterruptedException {
        List<String> heard = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            heard.add(m.chosen.poll(HANG_S, TimeUnit.SECONDS));
        }
        return heard;
    }

    @Test
    void whatAllProposeAtOnceGetsOneOrderEverywhere() throws Exception {
        network(3);
        all(3);
        List<CompletableFuture<Long>> numbers = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            for (Member m : members) {
                numbers.add(propose(m, m.group.self().name() + "-" + i));
            }
        }
        List<Long> got = new ArrayList<>();
        for (CompletableFuture<Long> n : numbers) {
            got.add(n.get());
        }
        assertThat(got).doesNotHaveDuplicates().hasSize(30);
        assertThat(got).allMatch(n -> n >= 1 && n <= 30);
        List<String> order = hears(members.get(0), 30);
        assertThat(order.get(0)).startsWith("1:");
        assertThat(order.get(29)).startsWith("30:");
        assertThat(hears(members.get(1), 30)).isEqualTo(order);
        assertThat(hears(members.get(2), 30)).isEqualTo(order);
        assertThatThrownBy(() -> members.get(0).group.log().propose(new byte[ReplicatedLog.MAX_ENTRY_BYTES + 1], null))
                .hasMessageContaining("at most");
    }

    @Test
    void theSmallerPartChoosesNothingAndHearsAllOnceHealed() throws Exception {
        network(5);
        all(5);
        assertThat(propose(members.get(0), "before").get()).isEqualTo(1);
        cut(true, new int[] {0, 1}, new int[] {2, 3, 4});
        cut(true, new int[] {2, 3, 4}, new int[] {0, 1});
        CompletableFuture<Long> small = propose(members.get(1), "small");
        assertThat(propose(members.get(3), "large").get()).isEqualTo(2);
        assertThatThrownBy(small::get).isInstanceOf(ExecutionException.class);
        cut(false, new int[] {0, 1}, new int[] {2, 3, 4});
        cut(false, new int[] {2, 3, 4}, new int[] {0, 1});
        assertThat(propose(members.get(1), "after").get()).isGreaterThan(2);
        List<String> order = new ArrayList<>();
        do {
            order.addAll(hears(members.get(0), 1));
        } while (!order.get(order.size() - 1).endsWith(":after"));
        assertThat(order).startsWith("1:before", "2:large").doesNotHaveDuplicates();
        for (Member m : members.subList(1, 5)) {
            assertThat(hears(m, order.size())).isEqualTo(order);
        }
    }

    @Test
    void numbersGoOnAfterAllHaveStartedAgainFromTheirFolders() throws Exception {
        network(3);
        all(3);
        assertThat(propose(members.get(2), "one").get()).isEqualTo(1);
        assertThat(propose(members.get(0), "two").get()).isEqualTo(2);
        for (Member m : members) {
            assertThat(hears(m, 2)).containsExactly("1:one", "2:two");
        }
        for (Member m : members) {
            m.leave();
            m.owner.shutdown();
        }
        members.clear();
        all(3);
        assertThat(propose(members.get(1), "three").get()).isEqualTo(3);
        for (Member m : members) {
            assertThat(hears(m, 3)).containsExactly("1:one", "2:two", "3:three");
        }
    }

    /** Whoever leads is among them: each is cut off in the middle of proposals, ends, and starts again. */
    @Test
    void noNumberIsLostOrGivenTwiceThoughEachIsCutOffWhileItProposes() throws Exception {
        int count = 3;
        network(count);
        all(count);
        TreeMap<Long, String> told = new TreeMap<>();
        told.put(propose(members.get(0), "first").get(), "first");
        for (Member m : members) {
            assertThat(hears(m, 1)).containsExactly("1:first");
        }
        for (int gone = 0; gone < count; gone++) {
            int[] one = {gone};
            int[] others = {(gone + 1) % count, (gone + 2) % count};
            CompletableFuture<Long> doubtful = propose(members.get(gone), "doubtful " + gone);
            cut(true, one, others);
            cut(true, others, one);
            surely(members.get(others[0]), "sure " + gone, told);
            members.get(gone).leave();
            members.get(gone).owner.shutdown();
            if (doubtful.isDone() && !doubtful.isCompletedExceptionally()) {
                told.put(doubtful.get(), "doubtful " + gone);
            }
            cut(false, one, others);
            cut(false, others, one);
            members.set(gone, new Member("p" + gone, gone, 2, folder));
            members.get(gone).sees("p0", "p1", "p2");
        }
        surely(members.get(0), "last", told);
        long last = told.lastKey();
        assertThat(told).hasSizeGreaterThanOrEqualTo(count + 1);
        for (Member m : members) {
            List<String> order = new ArrayList<>();
            if (m.group.self().incarnation() == 1) {
                order.add("1:first");
            }
            do {
                order.addAll(hears(m, 1));
            } while (!order.get(order.size() - 1).equals(last + ":" + told.get(last)));
            assertThat(order).doesNotHaveDuplicates();
            told.forEach((number, entry) -> assertThat(order).contains(number + ":" + entry));
            assertThat(order).extracting(o -> o.substring(o.indexOf(':') + 1)).doesNotHaveDuplicates();
            assertThat(order).hasSize((int) last);
        }
    }
}
