package frostreel.lab.model;

/** The network between zones: its delays, and its cuts, each in one direction. */
public final class Links {
    private final long[][] delayUs;
    private final boolean[][] cut;

    /**
     * A network without cuts.
     *
     * @param withinUs one-way delay within a zone, in microseconds
     * @param betweenUs one-way delay between two zones, in microseconds
     */
    public Links(int zones, long withinUs, long betweenUs) {
        delayUs = new long[zones][zones];
        cut = new boolean[zones][zones];
        for (int from = 0; from < zones; from++) {
            for (int to = 0; to < zones; to++) {
                delayUs[from][to] = from == to ? withinUs : betweenUs;
            }
        }
    }

    /** The one-way delay between two zones, in microseconds. */
    public long delayUs(int from, int to) {
        return delayUs[from][to];
    }

    /** Whether messages from one zone reach the other. */
    public boolean open(int from, int to) {
        return !cut[from][to];
    }

    /** Cuts or restores one direction between two zones. */
    public void cut(int from, int to, boolean isCut) {
        cut[from][to] = isCut;
    }
}
