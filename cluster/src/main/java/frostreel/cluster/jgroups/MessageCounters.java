package frostreel.cluster.jgroups;

import java.util.concurrent.atomic.LongAdder;

/** Message counters. Thread-safe. */
final class MessageCounters {
    final LongAdder sent = new LongAdder();
    final LongAdder received = new LongAdder();
    /** Messages dropped because a queue was full or the channel had not joined. */
    final LongAdder dropped = new LongAdder();
    /** Message senders and view members that are not configured poolers. */
    final LongAdder unknownSenders = new LongAdder();

    @Override
    public String toString() {
        return "sent=" + sent + " received=" + received + " dropped=" + dropped + " unknown_senders=" + unknownSenders;
    }
}
