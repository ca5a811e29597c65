package frostreel.broker;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.operation.RecentRequestIds;
import frostreel.request.FixedPayload;
import frostreel.request.RequestAttributes;
import frostreel.util.BufferMemory;
import frostreel.util.SlotTable;
import org.junit.jupiter.api.Test;

/** Lookup of requests by handle and id, and the lifetime of their slots. */
class RequestTableTest {
    private static final long ATTEMPT = 7;
    private static final int PAYLOAD_BYTES = 1000;
    private final BufferMemory buffers = new BufferMemory(Long.MAX_VALUE);
    private final RequestTable requests = new RequestTable(1, buffers, RecentRequestIds.ofSingleProcess());

    private static ActiveRequest request(String clientRequestId) {
        RequestAttributes attributes = new RequestAttributes(clientRequestId, 0, 0, 0, 0, 0, false);
        return new ActiveRequest(attributes, new FixedPayload(new byte[PAYLOAD_BYTES]), null, null, 1);
    }

    private ActiveRequest opened(String clientRequestId) {
        ActiveRequest request = request(clientRequestId);
        assertThat(requests.reserveSlot(request)).isTrue();
        requests.open(request);
        return request;
    }

    @Test
    void findsOpenRequestByItsHandleAndBothIds() {
        ActiveRequest request = opened("a");
        assertThat(requests.get(request.handle)).isSameAs(request);
        assertThat(requests.byRouterId(request.routerId)).isSameAs(request);
        assertThat(requests.containsClientRequestId("a")).isTrue();
        assertThat(requests.countOpen()).isEqualTo(1);
    }

    @Test
    void acceptsNoRequestWhileFullUntilSlotIsFreed() {
        ActiveRequest request = request("a");
        assertThat(requests.reserveSlot(request)).isTrue();
        assertThat(requests.reserveSlot(request("b"))).isFalse();
        requests.freeSlot(request);
        assertThat(requests.reserveSlot(request("c"))).isTrue();
    }

    @Test
    void keepsClosedRequestUntilItsAttemptEnds() {
        ActiveRequest request = opened("a");
        request.closed = true;
        request.attemptHandle = ATTEMPT;
        requests.removeIfDone(request);
        assertThat(requests.containsClientRequestId("a")).isTrue();
        assertThat(requests.countOpen()).isZero();
        request.attemptHandle = SlotTable.NONE;
        requests.removeIfDone(request);
        assertThat(requests.get(request.handle)).isNull();
        assertThat(requests.containsClientRequestId("a")).isFalse();
    }

    /** Guards against requests whose memory is not counted, such as one in flight whose client has gone. */
    @Test
    void countsThePayloadUntilTheRequestIsRemoved() {
        ActiveRequest request = opened("a");
        request.closed = true;
        request.attemptHandle = ATTEMPT;
        requests.removeIfDone(request);
        assertThat(buffers.heldBytes()).isEqualTo(PAYLOAD_BYTES);

        request.attemptHandle = SlotTable.NONE;
        requests.removeIfDone(request);

        assertThat(buffers.heldBytes()).isZero();
    }

    @Test
    void doesNotFindNewRequestByTheStaleIdOfItsSlot() {
        ActiveRequest first = opened("a");
        first.closed = true;
        requests.removeIfDone(first);
        ActiveRequest second = opened("b");
        assertThat(requests.byRouterId(first.routerId)).isNull();
        assertThat(requests.byRouterId(second.routerId)).isSameAs(second);
    }
}
