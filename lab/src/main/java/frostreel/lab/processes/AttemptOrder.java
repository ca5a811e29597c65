package frostreel.lab.processes;

import java.util.ArrayList;
import java.util.List;

/**
 * Restores the order of a pooler's attempts over all its connections. A pooler ends one attempt before it begins the
 * next, but the two arrive on two sockets, and an event loop reads ready sockets in any order. So before a
 * statement is reported, all connections are read for earlier ends, which have arrived by then.
 */
final class AttemptOrder {
    private final List<StatementRecorder> begun = new ArrayList<>();
    private final List<Runnable> readers = new ArrayList<>();
    private boolean reading;

    /** Adds a task that reads the bytes which have arrived on the connections to one server. */
    void readBy(Runnable reader) {
        readers.add(reader);
    }

    /** Takes a complete statement; its recorder reports it once nothing earlier is left to read. */
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
