package frostreel.util;

import java.util.Arrays;
import java.util.function.Consumer;

/**
 * A table of numbered slots. A handle consists of a slot's number and generation, so that a stale handle, whose slot
 * was freed or reused, finds nothing.
 */
public final class SlotTable<T> {
    /** A handle that refers to no slot. */
    public static final long NONE = -1;

    private static final int INITIAL_SLOTS = 16;
    private static final int NUMBER_BITS = 20;
    private static final int NUMBER_MASK = (1 << NUMBER_BITS) - 1;
    private final int capacity;
    private Object[] items = new Object[INITIAL_SLOTS];
    private long[] generations = new long[INITIAL_SLOTS];
    private int[] freeNumbers = new int[INITIAL_SLOTS];
    private int freeCount;
    private int usedCount;

    /** Creates a table for at most {@code capacity} items. */
    public SlotTable(int capacity) {
        this.capacity = Math.min(capacity, NUMBER_MASK);
    }

    /** Adds an item; returns its handle, or {@link #NONE} if the table is full. */
    public long add(T item) {
        int number;
        if (freeCount > 0) {
            number = freeNumbers[--freeCount];
        } else if (usedCount == capacity) {
            return NONE;
        } else {
            number = usedCount++;
            if (number == items.length) {
                items = Arrays.copyOf(items, 2 * number);
                generations = Arrays.copyOf(generations, 2 * number);
                freeNumbers = Arrays.copyOf(freeNumbers, 2 * number);
            }
        }
        items[number] = item;
        return generations[number] << NUMBER_BITS | number;
    }

    /** Returns the item, or null if the handle is stale. */
    @SuppressWarnings("unchecked")
    public T get(long handle) {
        int number = (int) (handle & NUMBER_MASK);
        boolean stale = handle < 0 || number >= usedCount || generations[number] != handle >> NUMBER_BITS;
        return stale ? null : (T) items[number];
    }

    /** Frees the slot; returns its item, or null if the handle is stale. */
    public T remove(long handle) {
        T item = get(handle);
        if (item != null) {
            int number = (int) (handle & NUMBER_MASK);
            items[number] = null;
            generations[number]++;
            freeNumbers[freeCount++] = number;
        }
        return item;
    }

    /** The number of items. */
    public int size() {
        return usedCount - freeCount;
    }

    /** Whether the number of items has reached the capacity. */
    public boolean full() {
        return size() == capacity;
    }

    /** Visits each item; the visitor may remove it. */
    @SuppressWarnings("unchecked")
    public void forEach(Consumer<T> visitor) {
        for (int number = 0; number < usedCount; number++) {
            if (items[number] != null) {
                visitor.accept((T) items[number]);
            }
        }
    }
}
