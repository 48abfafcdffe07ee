package gatelock.membership;

import java.util.function.IntConsumer;

/**
 * Finds records by endpoint name: a hash table with open addressing and linear probing that holds only record handles.
 * Names and their hashes are read from the records. A lookup always compares the names, so colliding hashes are safe.
 */
final class NameIndex {
    /** Gives access to the names of the indexed records. */
    interface RecordNames {
        /** Returns whether the record with this handle has this name, given as UTF-8. */
        boolean hasName(int handle, byte[] name);

        /** Returns the hash of the name of the record with this handle. */
        long nameHash(int handle);
    }

    private static final int INITIAL_SLOTS = 16;
    /** The table doubles when it is fuller than this. At this load a lookup examines about three slots. */
    private static final double MAX_LOAD_FACTOR = 0.8;

    private final RecordNames records;
    /** Each slot holds a handle + 1, or 0 if it is empty. */
    private int[] slots = new int[INITIAL_SLOTS];

    private int size;

    /** Creates an empty index over records whose names can be read. */
    NameIndex(RecordNames records) {
        this.records = records;
    }

    /** Returns the number of names in the index. */
    int size() {
        return size;
    }

    /** Returns the heap size of the arrays in bytes. */
    long bytes() {
        return (long) Integer.BYTES * slots.length;
    }

    /** Returns the slot of a name or, if the name is not in the index, the empty slot where it would be inserted. */
    int slot(byte[] name, long hash) {
        int mask = slots.length - 1;
        int slot = (int) hash & mask;
        while (slots[slot] != 0 && !records.hasName(slots[slot] - 1, name)) {
            slot = (slot + 1) & mask;
        }
        return slot;
    }

    /** Returns the handle in a slot, or {@link RecordArena#NONE} if the slot is empty. */
    int handle(int slot) {
        return slots[slot] - 1;
    }

    /** Sets the handle in the slot of its name. */
    void set(int slot, int handle) {
        slots[slot] = handle + 1;
    }

    /**
     * Counts a name that is about to be added and grows the table if it would become too full.
     *
     * @param slot the empty slot that {@link #slot} returned for the name
     * @return the empty slot for the name, which is a different one if the table grew
     */
    int reserve(int slot, byte[] name, long hash) {
        size++;
        if (size <= MAX_LOAD_FACTOR * slots.length) {
            return slot;
        }
        grow();
        return slot(name, hash);
    }

    /** Empties a slot and shifts the entries after it back, so that no lookup stops at the gap before its name. */
    void remove(int slot) {
        size--;
        int mask = slots.length - 1;
        int hole = slot;
        for (int i = (hole + 1) & mask; slots[i] != 0; i = (i + 1) & mask) {
            int home = (int) records.nameHash(slots[i] - 1) & mask;
            if (((i - home) & mask) >= ((i - hole) & mask)) {
                slots[hole] = slots[i];
                hole = i;
            }
        }
        slots[hole] = 0;
    }

    /** Calls the action with each handle, in slot order. */
    void forEach(IntConsumer action) {
        for (int slot : slots) {
            if (slot != 0) {
                action.accept(slot - 1);
            }
        }
    }

    private void grow() {
        int[] old = slots;
        slots = new int[old.length * 2];
        int mask = slots.length - 1;
        for (int entry : old) {
            if (entry != 0) {
                int slot = (int) records.nameHash(entry - 1) & mask;
                while (slots[slot] != 0) {
                    slot = (slot + 1) & mask;
                }
                slots[slot] = entry;
            }
        }
    }
}
