package frostreel.cluster.jgroups;

import java.util.concurrent.atomic.LongAdder;

/** Counts messages. Thread-safe. */
final class MessageCounters {
    final LongAdder sent = new LongAdder();
    final LongAdder received = new LongAdder();
    /** Messages for a full queue, or for a channel that has not joined. */
    final LongAdder dropped = new LongAdder();
    /** Senders of messages and members of views that are no configured poolers. */
    final LongAdder unknownSenders = new LongAdder();

    @Override
    public String toString() {
        return "sent=" + sent + " received=" + received + " dropped=" + dropped + " unknown_senders=" + unknownSenders;
    }
}
