package frostreel.broker;

import frostreel.util.SlotTable;
import java.util.HashSet;
import java.util.Set;

/** The active requests, by handle, and the ids that their senders gave them. Used on the I/O thread alone. */
final class RequestTable {
    private final SlotTable<ActiveRequest> slots;
    private final Set<String> senderIds = new HashSet<>();

    RequestTable(int capacity) {
        slots = new SlotTable<>(capacity);
    }

    /** Gives the request its handle; false where the table is full. */
    boolean reserveSlot(ActiveRequest request) {
        request.handle = slots.add(request);
        return request.handle != SlotTable.NONE;
    }

    /** Gives back a slot whose request was not opened. */
    void freeSlot(ActiveRequest request) {
        slots.remove(request.handle);
    }

    /** From now on the request is found by both of its ids. */
    void open(ActiveRequest request) {
        senderIds.add(request.attributes.id());
        request.id = Long.toString(request.handle);
    }

    /** The request, or null where the handle is stale. */
    ActiveRequest get(long handle) {
        return slots.get(handle);
    }

    /** The request that the decisions know by this id, or null where its slot was freed or used again. */
    ActiveRequest byId(String requestId) {
        return slots.get(Long.parseLong(requestId));
    }

    boolean containsSenderId(String senderId) {
        return senderIds.contains(senderId);
    }

    /** An answered request keeps its slot until its attempt has ended; then it is removed. */
    void removeIfDone(ActiveRequest request) {
        if (request.answered && !request.hasAttemptInFlight()) {
            slots.remove(request.handle);
            senderIds.remove(request.attributes.id());
        }
    }

    int countUnanswered() {
        int[] count = {0};
        slots.forEach(request -> count[0] += request.answered ? 0 : 1);
        return count[0];
    }
}
