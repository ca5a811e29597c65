package frostreel.net;

import java.util.Arrays;

/**
 * When each of a stream's bytes came that have yet to be taken. A request's time counts from its own last
 * byte, also where it waits behind another; so the times are kept by offset, one for each arrival.
 *
 * <p>At most {@link #MOST} are kept, 4 KiB, and nothing but two short arrays where nothing waits. Arrivals
 * closer to each other than a grain are one and have the earlier time, so that none seems to have more time
 * than it has. The grain is a millisecond and doubles where more would have to be kept: a time is too early
 * by a millisecond at the most, or by a sixtieth of the longest that any byte waited since last none did.
 * Times are microseconds. Owner: the connection, on the I/O thread.
 */
public final class ArrivalTimes {
    public static final int MOST = 256;
    private static final int FEW = 4;
    private static final long GRAIN_US = 1000;
    /** The offset behind an arrival's last byte, and its time; those from {@code first} to {@code next}. */
    private long[] ends = new long[FEW];

    private long[] times = new long[FEW];
    private int first;
    private int next;
    private long cameBytes;
    private long grainUs = GRAIN_US;

    /** So many more bytes came then. */
    public void add(int bytes, long atUs) {
        cameBytes += bytes;
        if (first == next) {
            reset();
        } else if (atUs - times[next - 1] <= grainUs) {
            ends[next - 1] = cameBytes;
            times[next - 1] = Math.min(times[next - 1], atUs);
            return;
        }
        if (next == ends.length) {
            makeRoom();
        }
        ends[next] = cameBytes;
        times[next++] = atUs;
    }

    /**
     * When the last byte came of what was taken just now, with so many bytes behind it that have yet to be;
     * to be called once for each piece taken, in their order.
     */
    public long take(int waitingBytes) {
        long end = cameBytes - waitingBytes;
        while (ends[first] < end) {
            first++;
        }
        return ends[first] == end ? times[first++] : times[first];
    }

    /** How many bytes of memory the times take up. */
    public int memory() {
        return 2 * Long.BYTES * ends.length;
    }

    private void reset() {
        first = 0;
        next = 0;
        grainUs = GRAIN_US;
        if (ends.length > FEW) {
            ends = new long[FEW]; // A long wait must not leave long arrays behind on every connection.
            times = new long[FEW];
        }
    }

    private void makeRoom() {
        if (first > 0) {
            next -= first;
            System.arraycopy(ends, first, ends, 0, next);
            System.arraycopy(times, first, times, 0, next);
            first = 0;
        } else if (next < MOST) {
            ends = Arrays.copyOf(ends, 2 * next);
            times = Arrays.copyOf(times, 2 * next);
        } else {
            while (next == MOST) {
                grainUs *= 2;
                merge();
            }
        }
    }

    private void merge() {
        int into = 0;
        for (int i = 1; i < next; i++) {
            if (times[i] - times[into] > grainUs) {
                times[++into] = times[i];
            }
            ends[into] = ends[i];
        }
        next = into + 1;
    }
}
