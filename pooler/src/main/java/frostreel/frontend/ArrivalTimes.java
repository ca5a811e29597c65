package frostreel.frontend;

import java.util.Arrays;

/**
 * When each byte of a stream arrived that is still waiting to be taken. The time of a request counts from its own last
 * byte, also where it waits behind another; so the times are stored by offset, one for each arrival.
 *
 * <p>At most {@link #MAX_ARRIVALS} are stored, 4 KiB, and nothing but two short arrays where no byte waits. Arrivals
 * closer to each other than a grain are merged, with the earlier time, so that no request seems to have more time than
 * it has. The grain is a millisecond and doubles where more arrivals would have to be stored: a time is too early by a
 * millisecond at most, or by a sixtieth of the longest that any byte waited since last none did. Times are
 * microseconds. Owned by the connection, on the I/O thread.
 */
public final class ArrivalTimes {
    /** The most arrivals that are stored. */
    public static final int MAX_ARRIVALS = 256;

    private static final int INITIAL_ARRIVALS = 4;
    private static final long INITIAL_GRAIN_US = 1000;
    /** The offset behind an arrival's last byte, and its time; those from {@code first} to {@code next}. */
    private long[] ends = new long[INITIAL_ARRIVALS];

    private long[] timesUs = new long[INITIAL_ARRIVALS];
    private int first;
    private int next;
    private long arrivedBytes;
    private long grainUs = INITIAL_GRAIN_US;

    /** Notes that more bytes have arrived, and when. */
    public void add(int bytes, long atUs) {
        arrivedBytes += bytes;
        if (first == next) {
            reset();
        } else if (atUs - timesUs[next - 1] <= grainUs) {
            ends[next - 1] = arrivedBytes;
            timesUs[next - 1] = Math.min(timesUs[next - 1], atUs);
            return;
        }
        if (next == ends.length) {
            makeRoom();
        }
        ends[next] = arrivedBytes;
        timesUs[next++] = atUs;
    }

    /**
     * When the last byte arrived of the piece that was just taken; called once for each piece, in their order.
     *
     * @param waitingBytes how many bytes behind the piece are still waiting
     */
    public long take(int waitingBytes) {
        long end = arrivedBytes - waitingBytes;
        while (ends[first] < end) {
            first++;
        }
        return ends[first] == end ? timesUs[first++] : timesUs[first];
    }

    /** How many bytes of memory the times take up. */
    public int memoryBytes() {
        return 2 * Long.BYTES * ends.length;
    }

    private void reset() {
        first = 0;
        next = 0;
        grainUs = INITIAL_GRAIN_US;
        if (ends.length > INITIAL_ARRIVALS) {
            ends = new long[INITIAL_ARRIVALS]; // A long wait must not leave long arrays behind on every connection.
            timesUs = new long[INITIAL_ARRIVALS];
        }
    }

    private void makeRoom() {
        if (first > 0) {
            next -= first;
            System.arraycopy(ends, first, ends, 0, next);
            System.arraycopy(timesUs, first, timesUs, 0, next);
            first = 0;
        } else if (next < MAX_ARRIVALS) {
            ends = Arrays.copyOf(ends, 2 * next);
            timesUs = Arrays.copyOf(timesUs, 2 * next);
        } else {
            while (next == MAX_ARRIVALS) {
                grainUs *= 2;
                merge();
            }
        }
    }

    private void merge() {
        int into = 0;
        for (int i = 1; i < next; i++) {
            if (timesUs[i] - timesUs[into] > grainUs) {
                timesUs[++into] = timesUs[i];
            }
            ends[into] = ends[i];
        }
        next = into + 1;
    }
}
