package frostreel.lab.processes;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Asks each pooler of a fleet again and again whom it sees, and notes each change with its time: how soon a
 * view follows what happened. A thread a pooler, as a paused one keeps whoever asks it waiting.
 */
final class ViewWatch implements AutoCloseable {
    static final List<String> COLUMNS = List.of("second", "pooler", "sees");
    private static final long PAUSE_MS = 20;
    private static final Pattern HERE = Pattern.compile("(?m)^(\\S+) here");
    private final List<List<String>> rows = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final long beganNs = System.nanoTime();
    private volatile boolean ended;

    ViewWatch(Fleet fleet, int poolers) {
        for (int i = 0; i < poolers; i++) {
            int number = i;
            Thread t = new Thread(() -> watch(fleet, number), "views-" + i);
            t.setDaemon(true);
            t.start();
            threads.add(t);
        }
    }

    private void watch(Fleet fleet, int number) {
        String last = "";
        while (!ended) {
            String now = sees(fleet, number);
            if (!now.equals(last)) {
                last = now;
                note(number, now);
            }
            try {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String sees(Fleet fleet, int number) {
        try {
            StringBuilder names = new StringBuilder();
            Matcher here = HERE.matcher(fleet.page(number, "fleet"));
            while (here.find()) {
                names.append(names.isEmpty() ? "" : " ").append(here.group(1));
            }
            return names.toString();
        } catch (IOException e) {
            return "-"; // It is away.
        }
    }

    private synchronized void note(int number, String names) {
        rows.add(List.of(String.format(Locale.ROOT, "%.3f", (System.nanoTime() - beganNs) / 1e9), "p" + number, names));
    }

    /** What each saw from when on, in the order of time; "-" while it does not answer. */
    synchronized List<List<String>> rows() {
        return List.copyOf(rows);
    }

    @Override
    public void close() {
        ended = true;
        threads.forEach(Thread::interrupt);
    }
}
