package frostreel.lab.processes;

import java.util.ArrayList;
import java.util.List;

/**
 * Puts what one pooler does on many connections into its order. It ends one attempt before it begins the
 * next, but the two come by two sockets, and a loop takes ready sockets in any order: so before a statement
 * is told of, all ends that its pooler brought about earlier are looked for; they have come by then.
 */
final class SendOrder {
    private final List<StatementRecorder> begun = new ArrayList<>();
    private final List<Runnable> looks = new ArrayList<>();
    private boolean looking;

    /** Takes what has come by one way from that pooler to a server. */
    void looksBy(Runnable look) {
        looks.add(look);
    }

    /** A statement has come whole; its tap tells of it once nothing earlier is left to find. */
    void begins(StatementRecorder tap) {
        begun.add(tap);
        if (looking) {
            return;
        }
        looking = true;
        int found;
        do {
            found = begun.size();
            looks.forEach(Runnable::run);
        } while (begun.size() > found);
        looking = false;
        List<StatementRecorder> all = List.copyOf(begun);
        begun.clear();
        all.forEach(StatementRecorder::tell);
    }
}
