package frostreel.lab.model;

/** The network between zones: delays, and cuts, which may be of one direction alone. */
public final class Links {
    private final long[][] delayUs;
    private final boolean[][] cut;

    public Links(int zones, long withinUs, long betweenUs) {
        delayUs = new long[zones][zones];
        cut = new boolean[zones][zones];
        for (int i = 0; i < zones; i++) {
            for (int j = 0; j < zones; j++) {
                delayUs[i][j] = i == j ? withinUs : betweenUs;
            }
        }
    }

    /** One way, in microseconds. */
    public long delayUs(int from, int to) {
        return delayUs[from][to];
    }

    public boolean open(int from, int to) {
        return !cut[from][to];
    }

    public void cut(int from, int to, boolean isCut) {
        cut[from][to] = isCut;
    }
}
