package frostreel.lab.model;

import java.util.ArrayDeque;

/** The recent load of a server that is warming up, and whether that overloads it. */
final class WarmUpLoad {
    private record Sent(long atUs, double workUs, boolean senderKnewStart) {}

    private final ServerParameters parameters;
    /** The requests within the rule's window, oldest first. */
    private final ArrayDeque<Sent> recent = new ArrayDeque<>();

    private double recentWorkUs;
    private double largestMultiple;
    private boolean mostSendersKnew;

    WarmUpLoad(ServerParameters parameters) {
        this.parameters = parameters;
    }

    /** Starts over, as the server has restarted. */
    void clear() {
        recent.clear();
        recentWorkUs = 0;
    }

    /** The largest load within the rule's window so far, as a multiple of the capacity at that time. */
    double largestMultiple() {
        return largestMultiple;
    }

    /** Whether, at the last request, enough of the recent work came from senders that knew of the start. */
    boolean mostSendersKnew() {
        return mostSendersKnew;
    }

    /**
     * Adds a request that arrives now; true where it overloads the server.
     *
     * @param capacity of the server at present, in cores of speed 1
     */
    boolean overloadedBy(Job job, long nowUs, double capacity) {
        add(job, nowUs);
        if (recent.size() == 1) {
            return false; // A single request is never an overload, however cold the server.
        }
        largestMultiple = Math.max(largestMultiple, recentWorkUs / (capacity * parameters.fallUs()));
        mostSendersKnew = informedWorkUs() >= parameters.informedShare() * recentWorkUs;
        return recentWorkUs > limitUs(capacity);
    }

    /** Adds a request, and drops those that are older than the rule's window. */
    private void add(Job job, long nowUs) {
        recent.add(new Sent(nowUs, job.workUs, job.senderKnewStart));
        recentWorkUs += job.workUs;
        while (recent.peek().atUs < nowUs - parameters.fallUs()) {
            recentWorkUs -= recent.poll().workUs;
        }
    }

    /** The recent work whose senders knew of the server's start. */
    private double informedWorkUs() {
        return recent.stream()
                .filter(Sent::senderKnewStart)
                .mapToDouble(Sent::workUs)
                .sum();
    }

    /** The work that the server can take within the rule's window, with the allowance for random arrivals. */
    private double limitUs(double capacity) {
        double allowedUs = parameters.fallMultiple() * capacity * parameters.fallUs();
        double slackUs = parameters.slackUs();
        return allowedUs + 2 * Math.sqrt(allowedUs * slackUs) + 2 * slackUs;
    }
}
