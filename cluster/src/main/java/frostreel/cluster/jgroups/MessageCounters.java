package frostreel.cluster.jgroups;

import java.util.concurrent.atomic.LongAdder;

/** Counts messages; incremented on any thread. */
final class MessageCounters {
    final LongAdder sent = new LongAdder();
    final LongAdder received = new LongAdder();
    /** Messages that found a queue full, or no channel. */
    final LongAdder dropped = new LongAdder();
    /** Messages and views' members that are not among the configured poolers. */
    final LongAdder unknownSenders = new LongAdder();

    @Override
    public String toString() {
        return "sent=" + sent + " received=" + received + " dropped=" + dropped + " unknown_senders=" + unknownSenders;
    }
}
