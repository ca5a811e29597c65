package frostreel.util;

import static org.assertj.core.api.Assertions.assertThat;

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
}
