package frostreel.util;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The sum of all accounts and its limits. */
class BufferMemoryTest {
    private static final int HEAP_BYTES = 8_000;
    private final BufferMemory buffers = new BufferMemory(HEAP_BYTES);

    @Test
    void addsUpWhatTheOwnersHoldNow() {
        BufferMemory.Account first = buffers.account();
        BufferMemory.Account second = buffers.account();
        first.set(300);
        second.set(200);
        first.set(100);
        assertThat(buffers.heldBytes()).isEqualTo(300);
        assertThat(buffers.peakBytes()).isEqualTo(500);
        first.set(0);
        second.set(0);
        assertThat(buffers.heldBytes()).isZero();
    }

    @Test
    void holdsBackInputBeyondAQuarterAndRejectsRequestsBeyondThreeEighthsOfTheHeap() {
        BufferMemory.Account account = buffers.account();
        account.set(2_000);
        assertThat(buffers.holdsBackInput()).isFalse();
        account.set(2_001);
        assertThat(buffers.holdsBackInput()).isTrue();
        account.set(3_000);
        assertThat(buffers.rejectsRequests()).isFalse();
        account.set(3_001);
        assertThat(buffers.rejectsRequests()).isTrue();
        account.set(0);
        assertThat(buffers.holdsBackInput() || buffers.rejectsRequests()).isFalse();
    }

    /** Guards against responses that overtake those that have waited longer, so that the latter time out. */
    @Test
    void roomForResponsesIsGivenInTheOrderOfTheQueue() {
        List<String> resumed = new ArrayList<>();
        BufferMemory.Account held = buffers.account();
        BufferMemory.Account first = buffers.account();
        held.set(4_000);
        buffers.awaitRoom(900, () -> {
            resumed.add("first");
            first.set(900);
        });
        BufferMemory.Waiter second = buffers.awaitRoom(100, () -> resumed.add("second"));
        buffers.awaitRoom(200, () -> resumed.add("third"));

        held.set(3_500);
        assertThat(resumed)
                .as("there is room for the second, but not for the first")
                .isEmpty();
        held.set(3_000);
        assertThat(resumed).containsExactly("first", "second");
        buffers.stopWaiting(second); // Has no effect any more.
        held.set(2_900);

        assertThat(resumed).containsExactly("first", "second", "third");
    }

    /** Guards against a queue that stands still once its first has left it. */
    @Test
    void whoLeavesTheQueueLetsTheNextPass() {
        List<String> resumed = new ArrayList<>();
        BufferMemory.Account held = buffers.account();
        held.set(3_500);
        BufferMemory.Waiter first = buffers.awaitRoom(900, () -> resumed.add("first"));
        buffers.awaitRoom(100, () -> resumed.add("second"));

        buffers.stopWaiting(first);

        assertThat(resumed).containsExactly("second");
    }
}
