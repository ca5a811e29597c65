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
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Each entry that a majority committed keeps its number, whatever is cut, ends or restarts. */
class ReplicatedLogTest extends GroupRig {
    private static final int MAX_TRIES = 6;

    @TempDir
    Path folder;

    private long incarnation;

    /** Starts a new incarnation of each member, with its log, and waits until each sees all. */
    private void startAll(int count) throws Exception {
        incarnation++;
        for (int i = 0; i < count; i++) {
            members.add(new Member("p" + i, i, incarnation, folder));
        }
        awaitViewOfAll();
    }

    private static CompletableFuture<Long> propose(Member member, String entry) {
        CompletableFuture<Long> committed = new CompletableFuture<>();
        ReplicatedLog.ProposalListener listener = new ReplicatedLog.ProposalListener() {
            @Override
            public void onCommitted(long number) {
                committed.complete(number);
            }

            @Override
            public void onUnknown(String why) {
                committed.completeExceptionally(new IllegalStateException(why));
            }
        };
        member.owner.execute(() -> member.group.log().propose(entry.getBytes(), listener));
        return committed;
    }

    /**
     * Proposes until an entry is known to be committed, each time under another name: how long a majority needs
     * to elect a new leader depends on the machine, and a proposal's outcome may stay unknown.
     */
    private static void proposeUntilCommitted(Member member, String entry, Map<Long, String> committed)
            throws Exception {
        ExecutionException last = null;
        for (int i = 0; i < MAX_TRIES; i++) {
            try {
                String name = i == 0 ? entry : entry + ", try " + i;
                committed.put(propose(member, name).get(), name);
                return;
            } catch (ExecutionException unknown) {
                last = unknown;
            }
        }
        throw last;
    }

    private static List<String> nextEntries(Member member, int count) throws InterruptedException {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(member.committedEntries.poll(TIMEOUT_S, TimeUnit.SECONDS));
        }
        return entries;
    }

    /** Adds the next entries to those that were read before, up to the first that matches. */
    private static void readUntil(Member member, Predicate<String> last, List<String> entries)
            throws InterruptedException {
        do {
            entries.addAll(nextEntries(member, 1));
        } while (!last.test(entries.get(entries.size() - 1)));
    }

    private static void end(Member member) throws Exception {
        member.leave();
        member.owner.shutdown();
    }

    @Test
    void givesConcurrentProposalsOneOrderAtAllMembers() throws Exception {
        openNetwork(3);
        startAll(3);
        List<CompletableFuture<Long>> proposals = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            for (Member member : members) {
                proposals.add(propose(member, member.group.self().name() + "-" + i));
            }
        }
        List<Long> numbers = new ArrayList<>();
        for (CompletableFuture<Long> proposal : proposals) {
            numbers.add(proposal.get());
        }
        assertThat(numbers).doesNotHaveDuplicates().hasSize(30);
        assertThat(numbers).allMatch(number -> number >= 1 && number <= 30);
        List<String> order = nextEntries(members.get(0), 30);
        assertThat(order.get(0)).startsWith("1:");
        assertThat(order.get(29)).startsWith("30:");
        assertThat(nextEntries(members.get(1), 30)).isEqualTo(order);
        assertThat(nextEntries(members.get(2), 30)).isEqualTo(order);
        assertThatThrownBy(() -> members.get(0).group.log().propose(new byte[ReplicatedLog.MAX_ENTRY_BYTES + 1], null))
                .hasMessageContaining("at most");
    }

    @Test
    void minorityCommitsNothingAndCatchesUpOnceHealed() throws Exception {
        openNetwork(5);
        startAll(5);
        List<Integer> minority = List.of(0, 1);
        List<Integer> majority = List.of(2, 3, 4);
        assertThat(propose(members.get(0), "before").get()).isEqualTo(1);
        partition(true, minority, majority);
        CompletableFuture<Long> byMinority = propose(members.get(1), "minority");
        assertThat(propose(members.get(3), "majority").get()).isEqualTo(2);
        assertThatThrownBy(byMinority::get).isInstanceOf(ExecutionException.class);
        partition(false, minority, majority);
        assertThat(propose(members.get(1), "after").get()).isGreaterThan(2);
        List<String> order = new ArrayList<>();
        readUntil(members.get(0), entry -> entry.endsWith(":after"), order);
        assertThat(order).startsWith("1:before", "2:majority").doesNotHaveDuplicates();
        for (Member member : members.subList(1, 5)) {
            assertThat(nextEntries(member, order.size())).isEqualTo(order);
        }
    }

    @Test
    void continuesItsNumbersAfterAllMembersRestartFromTheirFolders() throws Exception {
        openNetwork(3);
        startAll(3);
        assertThat(propose(members.get(2), "one").get()).isEqualTo(1);
        assertThat(propose(members.get(0), "two").get()).isEqualTo(2);
        for (Member member : members) {
            assertThat(nextEntries(member, 2)).containsExactly("1:one", "2:two");
        }
        for (Member member : members) {
            end(member);
        }
        members.clear();
        startAll(3);
        assertThat(propose(members.get(1), "three").get()).isEqualTo(3);
        for (Member member : members) {
            assertThat(nextEntries(member, 3)).containsExactly("1:one", "2:two", "3:three");
        }
    }

    /** One of them is the leader: each is cut off in the middle of proposals, ends, and restarts. */
    @Test
    void losesNoNumberAndGivesNoneTwiceWhereEachMemberIsCutOffWhileItProposes() throws Exception {
        int count = 3;
        openNetwork(count);
        startAll(count);
        TreeMap<Long, String> committed = new TreeMap<>();
        committed.put(propose(members.get(0), "first").get(), "first");
        for (Member member : members) {
            assertThat(nextEntries(member, 1)).containsExactly("1:first");
        }
        for (int gone = 0; gone < count; gone++) {
            cutOffAndRestart(gone, committed);
        }
        proposeUntilCommitted(members.get(0), "last", committed);
        assertThat(committed).hasSizeGreaterThanOrEqualTo(count + 1);
        for (Member member : members) {
            assertHasAll(member, committed);
        }
    }

    /** Cuts a member off while it proposes, has another propose meanwhile, and restarts the first. */
    private void cutOffAndRestart(int gone, Map<Long, String> committed) throws Exception {
        int count = members.size();
        List<Integer> others = List.of((gone + 1) % count, (gone + 2) % count);
        CompletableFuture<Long> doubtful = propose(members.get(gone), "doubtful " + gone);
        partition(true, List.of(gone), others);
        proposeUntilCommitted(members.get(others.get(0)), "sure " + gone, committed);
        end(members.get(gone));
        if (doubtful.isDone() && !doubtful.isCompletedExceptionally()) {
            committed.put(doubtful.get(), "doubtful " + gone);
        }
        partition(false, List.of(gone), others);
        members.set(gone, new Member("p" + gone, gone, 2, folder));
        members.get(gone).awaitView("p0", "p1", "p2");
    }

    /** Reads a member's entries up to the last committed one: each has one number, and none is missing. */
    private static void assertHasAll(Member member, TreeMap<Long, String> committed) throws Exception {
        long last = committed.lastKey();
        String lastEntry = last + ":" + committed.get(last);
        List<String> order = new ArrayList<>();
        if (member.group.self().incarnation() == 1) {
            order.add("1:first"); // It was read before.
        }
        readUntil(member, entry -> entry.equals(lastEntry), order);
        assertThat(order).doesNotHaveDuplicates();
        committed.forEach((number, entry) -> assertThat(order).contains(number + ":" + entry));
        assertThat(order)
                .extracting(entry -> entry.substring(entry.indexOf(':') + 1))
                .doesNotHaveDuplicates();
        assertThat(order).hasSize((int) last);
    }
}
