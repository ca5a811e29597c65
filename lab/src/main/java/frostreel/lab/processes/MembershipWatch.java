package frostreel.lab.processes;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Polls each pooler of a fleet for the members that it sees, and records each change with its time, which shows how
 * soon views follow faults. Each pooler has a thread of its own, since a paused pooler blocks its thread.
 */
final class MembershipWatch implements AutoCloseable {
    static final List<String> COLUMNS = List.of("second", "pooler", "sees");
    private static final long POLL_INTERVAL_MS = 20;
    private static final double NS_PER_SECOND = 1e9;
    private static final Pattern PRESENT = Pattern.compile("(?m)^(\\S+) present");
    private static final String NO_ANSWER = "-";

    private final List<List<String>> rows = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final long startNs = System.nanoTime();
    private volatile boolean closed;

    /** Watches the first {@code poolers} of a fleet from now on. */
    MembershipWatch(Fleet fleet, int poolers) {
        for (int i = 0; i < poolers; i++) {
            int number = i;
            Thread thread = new Thread(() -> watch(fleet, number), "views-" + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void watch(Fleet fleet, int number) {
        String last = "";
        while (!closed) {
            String now = membersSeen(fleet, number);
            if (!now.equals(last)) {
                last = now;
                recordChange(number, now);
            }
            try {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String membersSeen(Fleet fleet, int number) {
        try {
            List<String> names = new ArrayList<>();
            Matcher present = PRESENT.matcher(fleet.page(number, "fleet"));
            while (present.find()) {
                names.add(present.group(1));
            }
            return String.join(" ", names);
        } catch (IOException e) {
            return NO_ANSWER;
        }
    }

    private synchronized void recordChange(int number, String names) {
        String second = String.format(Locale.ROOT, "%.3f", (System.nanoTime() - startNs) / NS_PER_SECOND);
        rows.add(List.of(second, "p" + number, names));
    }

    /** A row for each change of a pooler's view, in the order of time; "-" stands for no answer. */
    synchronized List<List<String>> rows() {
        return List.copyOf(rows);
    }

    @Override
    public void close() {
        closed = true;
        threads.forEach(Thread::interrupt);
    }
}
