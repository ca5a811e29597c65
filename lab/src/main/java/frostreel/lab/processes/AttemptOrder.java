package frostreel.lab.processes;

import java.util.ArrayList;
import java.util.List;

/**
 * Puts what one pooler does on many connections into the pooler's order. It ends one attempt before it begins
 * the next, but the two come by two sockets, and an event loop takes ready sockets in any order. So before a
 * statement is reported, all connections are read for earlier ends, which have arrived by then.
 */
final class AttemptOrder {
    private final List<StatementRecorder> begun = new ArrayList<>();
    private final List<Runnable> readers = new ArrayList<>();
    private boolean reading;

    /** Adds what reads the bytes that have come by now on the connections to one server. */
    void readBy(Runnable reader) {
        readers.add(reader);
    }

    /** A statement has come in full; its recorder reports it once nothing earlier is left to read. */
    void begin(StatementRecorder recorder) {
        begun.add(recorder);
        if (reading) {
            return;
        }
        reading = true;
        int found;
        do {
            found = begun.size();
            readers.forEach(Runnable::run);
        } while (begun.size() > found);
        reading = false;
        List<StatementRecorder> all = List.copyOf(begun);
        begun.clear();
        all.forEach(StatementRecorder::reportSent);
    }
}
