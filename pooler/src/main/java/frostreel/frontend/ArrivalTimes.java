package frostreel.frontend;

import java.util.Arrays;

/**
 * The arrival times of the unprocessed bytes of a stream. The timeout of a request starts with the arrival of its last
 * byte, also while it waits behind another request, so each arrival is stored with its offset.
 *
 * <p>At most {@link #MAX_ARRIVALS} are stored, in 4 KiB; the arrays shrink again once the stream is empty. Arrivals
 * within the resolution of each other are merged with the earlier time, so that no request appears to have more time
 * left than it has. The resolution is a millisecond, and doubles when the limit would be exceeded: a time is too early
 * by at most a millisecond, or by a sixtieth of the longest time that any byte has waited since the stream was last
 * empty. Times are microseconds. Owned by the connection, on the I/O thread.
 */
public final class ArrivalTimes {
    /** The maximum number of stored arrivals. */
    public static final int MAX_ARRIVALS = 256;

    private static final int INITIAL_ARRIVALS = 4;
    private static final long INITIAL_RESOLUTION_US = 1000;

    /** The end offset of each arrival; like {@code timesUs}, in use from {@code first} to {@code next}. */
    private long[] ends = new long[INITIAL_ARRIVALS];

    private long[] timesUs = new long[INITIAL_ARRIVALS];
    private int first;
    private int next;
    private long arrivedBytes;
    private long resolutionUs = INITIAL_RESOLUTION_US;

    /** Adds bytes that arrived at this time. */
    public void add(int bytes, long atUs) {
        arrivedBytes += bytes;
        if (first < next && atUs - timesUs[next - 1] <= resolutionUs) {
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
     * Returns the arrival time of the last byte of the message that was just taken; called once per message, in order.
     *
     * @param waitingBytes the number of unprocessed bytes behind that message
     */
    public long take(int waitingBytes) {
        long end = arrivedBytes - waitingBytes;
        while (ends[first] < end) {
            first++;
        }
        long timeUs = timesUs[first];
        if (ends[first] == end) {
            first++;
        }
        if (first == next) {
            reset();
        }
        return timeUs;
    }

    /** The memory in use, in bytes. */
    public int memoryBytes() {
        return 2 * Long.BYTES * ends.length;
    }

    private void reset() {
        first = 0;
        next = 0;
        resolutionUs = INITIAL_RESOLUTION_US;
        if (ends.length > INITIAL_ARRIVALS) {
            ends = new long[INITIAL_ARRIVALS]; // Frees the memory that a long wait needed, on each connection.
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
                resolutionUs *= 2;
                merge();
            }
        }
    }

    private void merge() {
        int into = 0;
        for (int i = 1; i < next; i++) {
            if (timesUs[i] - timesUs[into] > resolutionUs) {
                timesUs[++into] = timesUs[i];
            }
            ends[into] = ends[i];
        }
        next = into + 1;
    }
}
