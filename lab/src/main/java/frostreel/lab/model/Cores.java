package frostreel.lab.model;

/** The cores of one server: how many are busy now, and their utilization of late. */
final class Cores {
    /** Time constant of the moving average of the utilization. */
    private static final double UTILIZATION_SPAN_US = 100_000;

    private final Scheduler scheduler;
    private final int count;
    private int busy;
    private double utilization;
    private long updatedAtUs;

    Cores(Scheduler scheduler, int count) {
        this.scheduler = scheduler;
        this.count = count;
    }

    int count() {
        return count;
    }

    boolean isAnyFree() {
        return busy < count;
    }

    /** Makes one free core busy. */
    void occupy() {
        utilization();
        busy++;
    }

    /** Makes one busy core free. */
    void release() {
        utilization();
        busy--;
    }

    /** Makes all cores free. */
    void releaseAll() {
        utilization();
        busy = 0;
    }

    /** The share of cores in use, 0 to 1: a moving average over about a tenth of a second. */
    double utilization() {
        double decay = Math.exp((updatedAtUs - scheduler.now()) / UTILIZATION_SPAN_US);
        utilization = utilization * decay + (1 - decay) * busy / count;
        updatedAtUs = scheduler.now();
        return utilization;
    }
}
