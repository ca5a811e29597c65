package frostreel.broker;

import frostreel.operation.RecentRequestIds;
import frostreel.routing.Router;
import frostreel.util.BufferMemory;
import frostreel.util.SlotTable;
import java.util.HashSet;
import java.util.Set;

/** Active requests by handle, and the ids that clients chose for them and for recent ones. For the I/O thread. */
final class RequestTable {
    private final SlotTable<ActiveRequest> slots;
    private final BufferMemory buffers;
    private final Set<String> clientRequestIds = new HashSet<>();
    private final RecentRequestIds recentIds;

    /** Creates a table for at most {@code capacity} requests, whose contents count towards {@code buffers}. */
    RequestTable(int capacity, BufferMemory buffers, RecentRequestIds recentIds) {
        this.recentIds = recentIds;
        slots = new SlotTable<>(capacity);
        this.buffers = buffers;
    }

    /** Reserves a slot for the request and sets its handle. Returns false if the table is full. */
    boolean reserveSlot(ActiveRequest request) {
        request.handle = slots.add(request);
        return request.handle != SlotTable.NONE;
    }

    /** Frees the slot of a request that was rejected before {@link #open}. */
    void freeSlot(ActiveRequest request) {
        slots.remove(request.handle);
    }

    /** Registers the client's id of the request and sets the router's. */
    void open(ActiveRequest request) {
        clientRequestIds.add(request.attributes.id());
        request.routerId = Long.toString(request.handle);
        request.memory = buffers.account();
        request.memory.set(request.payload.memoryBytes());
    }

    /** Returns the request, or null if the handle is stale. */
    ActiveRequest get(long handle) {
        return slots.get(handle);
    }

    /** Returns the request with this id of the router, or null if its slot was freed or reused. */
    ActiveRequest byRouterId(String routerId) {
        return slots.get(Long.parseLong(routerId));
    }

    boolean containsClientRequestId(String clientRequestId) {
        return clientRequestIds.contains(clientRequestId);
    }

    /** Records that an attempt of the request is about to start; ids of idempotent requests need not be remembered. */
    void recordAttempt(ActiveRequest request) {
        if (request.requestClass.idempotency() != Router.Idempotency.IDEMPOTENT) {
            recentIds.add(request.attributes.id());
        }
    }

    /** Whether a request with this id may have run, here or in another process of the pooler. */
    boolean mayHaveRun(String clientRequestId) {
        return recentIds.contains(clientRequestId);
    }

    /** Removes the request if it is closed and has no attempt in flight. */
    void removeIfDone(ActiveRequest request) {
        if (request.closed && !request.hasAttemptInFlight()) {
            slots.remove(request.handle);
            clientRequestIds.remove(request.attributes.id());
            request.memory.set(0);
        }
    }

    int countOpen() {
        int[] count = {0};
        slots.forEach(request -> count[0] += request.closed ? 0 : 1);
        return count[0];
    }
}
