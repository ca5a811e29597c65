package frostreel.lab.model;

/** The faults that are injected into one server: stalls, slowness, failing requests and lost answers. */
public final class ServerFaults {
    /** Selects a share of a sequence of events, evenly and without randomness. */
    private static final class Selection {
        private double share;
        private double accumulated;

        /** Whether the next event of the sequence is selected; to be called once for each. */
        boolean next() {
            accumulated += share;
            if (accumulated < 1) {
                return false;
            }
            accumulated--;
            return true;
        }
    }

    private final Scheduler scheduler;
    private final Selection failingRequests = new Selection();
    private final Selection lostAnswers = new Selection();
    private long stalledUntilUs;
    private double slowdown = 1;

    ServerFaults(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Stalls the server: for so many microseconds it neither accepts nor completes requests. */
    public void stall(long us) {
        stalledUntilUs = scheduler.now() + us;
    }

    /** For how long the server is still stalled, in microseconds; 0 where it is not. */
    long stalledForUs() {
        return Math.max(0, stalledUntilUs - scheduler.now());
    }

    /** Makes all requests that begin from now on take so many times as long; 1 for the usual time. */
    public void slowDown(double times) {
        slowdown = times;
    }

    /** How many times as long requests take at present; 1 for the usual time. */
    double slowdown() {
        return slowdown;
    }

    /** Sets the share of requests, 0 to 1, that fail with an error on arrival from now on. */
    public void failRequests(double share) {
        failingRequests.share = share;
    }

    /** Whether the request that arrives now fails; to be called once for each request. */
    boolean nextRequestFails() {
        return failingRequests.next();
    }

    /** Sets the share of answers, 0 to 1, that is lost on the network from now on. */
    public void loseAnswers(double share) {
        lostAnswers.share = share;
    }

    /** Whether the answer that the server gives now is lost; to be called once for each answer. */
    public boolean nextAnswerIsLost() {
        return lostAnswers.next();
    }
}
