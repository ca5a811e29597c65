package frostreel.lab.model;

import java.util.ArrayDeque;

/** The work that a server was sent lately while it warms up, and whether that is more than it can take. */
final class WarmUpLoad {
    private record Sent(long atUs, double workUs, boolean senderKnewStart) {}

    private final ServerParameters parameters;
    /** The work within the rule's window, oldest first. */
    private final ArrayDeque<Sent> recent = new ArrayDeque<>();

    private double recentWorkUs;
    private double largestMultiple;
    private boolean mostSendersKnew;

    WarmUpLoad(ServerParameters parameters) {
        this.parameters = parameters;
    }

    /** A new start: nothing was sent yet. */
    void clear() {
        recent.clear();
        recentWorkUs = 0;
    }

    /** The largest multiple of the capacity of its moment that was sent within the rule's window. */
    double largestMultiple() {
        return largestMultiple;
    }

    /** Whether most of the work last looked at came from senders that knew of the start. */
    boolean mostSendersKnew() {
        return mostSendersKnew;
    }

    /** Adds a request that comes while the server has so much capacity; whether the server falls over it. */
    boolean overloadedBy(Job job, long nowUs, double capacity) {
        recent.add(new Sent(nowUs, job.workUs, job.senderKnewStart));
        recentWorkUs += job.workUs;
        while (recent.peek().atUs < nowUs - parameters.fallUs()) {
            recentWorkUs -= recent.poll().workUs;
        }
        if (recent.size() == 1) {
            return false; // One request alone is no overload, however cold its server.
        }
        double multiple = recentWorkUs / (capacity * parameters.fallUs());
        largestMultiple = Math.max(largestMultiple, multiple);
        double knownWorkUs = recent.stream()
                .filter(Sent::senderKnewStart)
                .mapToDouble(Sent::workUs)
                .sum();
        mostSendersKnew = knownWorkUs >= parameters.informedShare() * recentWorkUs;
        double allowedUs = parameters.fallMultiple() * capacity * parameters.fallUs();
        double slackUs = parameters.slackUs();
        return recentWorkUs > allowedUs + 2 * Math.sqrt(allowedUs * slackUs) + 2 * slackUs;
    }
}
