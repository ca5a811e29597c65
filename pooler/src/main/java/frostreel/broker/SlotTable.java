package frostreel.broker;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * A table of numbered slots. A handle holds the slot's number and its generation, so that a handle kept after
 * its
 * slot was freed, or used again, finds nothing.
 */
public final class SlotTable<T> {
    /** The handle of nothing. */
    public static final long NONE = -1;

    private static final int NUMBER_BITS = 20;
    private static final int NUMBER_MASK = (1 << NUMBER_BITS) - 1;
    private final int capacity;
    private Object[] items = new Object[16];
    private long[] generations = new long[16];
    private int[] free = new int[16];
    private int freeCount;
    private int used;

    public SlotTable(int capacity) {
        this.capacity = Math.min(capacity, NUMBER_MASK);
    }

    /** The new handle, or {@link #NONE} when the table is full. */
    public long add(T item) {
        int number;
        if (freeCount > 0) {
            number = free[--freeCount];
        } else if (used == capacity) {
            return NONE;
        } else {
            number = used++;
            if (number == items.length) {
                items = Arrays.copyOf(items, 2 * number);
                generations = Arrays.copyOf(generations, 2 * number);
                free = Arrays.copyOf(free, 2 * number);
            }
        }
        items[number] = item;
        return generations[number] << NUMBER_BITS | number;
    }

    /** The item, or null where the handle is stale. */
    @SuppressWarnings("unchecked")
    public T get(long handle) {
        int number = (int) (handle & NUMBER_MASK);
        return handle < 0 || number >= used || generations[number] != handle >> NUMBER_BITS ? null : (T) items[number];
    }

    public T remove(long handle) {
        T item = get(handle);
        if (item != null) {
            int number = (int) (handle & NUMBER_MASK);
            items[number] = null;
            generations[number]++;
            free[freeCount++] = number;
        }
        return item;
    }

    public int size() {
        return used - freeCount;
    }

    public boolean full() {
        return size() == capacity;
    }

    /** Visits each item; the visitor may remove it. */
    @SuppressWarnings("unchecked")
    public void forEach(Consumer<T> visitor) {
        for (int i = 0; i < used; i++) {
            if (items[i] != null) {
                visitor.accept((T) items[i]);
            }
        }
    }
}
