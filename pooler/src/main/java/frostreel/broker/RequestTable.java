package frostreel.broker;

import frostreel.util.SlotTable;
import java.util.HashSet;
import java.util.Set;

/** The active requests, by handle, and the ids that their senders gave them. Used on the I/O thread alone. */
final class RequestTable {
    private final SlotTable<ActiveRequest> slots;
    private final Set<String> clientRequestIds = new HashSet<>();

    RequestTable(int capacity) {
        slots = new SlotTable<>(capacity);
    }

    /** Gives the request a slot, and its handle; false where the table is full. */
    boolean reserveSlot(ActiveRequest request) {
        request.handle = slots.add(request);
        return request.handle != SlotTable.NONE;
    }

    /** Frees the slot of a request that was not opened. */
    void freeSlot(ActiveRequest request) {
        slots.remove(request.handle);
    }

    /** Makes the request known by its sender's id and by the router's. */
    void open(ActiveRequest request) {
        clientRequestIds.add(request.attributes.id());
        request.routerId = Long.toString(request.handle);
    }

    /** The request, or null where the handle is stale. */
    ActiveRequest get(long handle) {
        return slots.get(handle);
    }

    /** The request that the router knows by this id, or null where its slot was freed or used again. */
    ActiveRequest byRouterId(String routerId) {
        return slots.get(Long.parseLong(routerId));
    }

    boolean containsClientRequestId(String clientRequestId) {
        return clientRequestIds.contains(clientRequestId);
    }

    /** Removes an answered request; it keeps its slot while it has an attempt in flight. */
    void removeIfDone(ActiveRequest request) {
        if (request.closed && !request.hasAttemptInFlight()) {
            slots.remove(request.handle);
            clientRequestIds.remove(request.attributes.id());
        }
    }

    int countOpen() {
        int[] count = {0};
        slots.forEach(request -> count[0] += request.closed ? 0 : 1);
        return count[0];
    }
}
