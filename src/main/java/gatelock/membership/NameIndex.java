package gatelock.membership;

import java.util.function.IntConsumer;

/**
 * Finds records by the endpoint's name: a hash table with open addressing and linear probing that holds only places.
 * Names and their hashes are read from the records, and a name is always compared, so that equal hashes do no harm.
 */
final class NameIndex {
    /** The names of the records that the index holds. */
    interface RecordNames {
        /** Whether the record at a place has this name. */
        boolean hasName(int place, byte[] name);

        /** The hash of the name of the record at a place. */
        long nameHash(int place);
    }

    private static final int INITIAL_SLOTS = 16;
    /** The table doubles when it is fuller than this; a search then looks at about three slots. */
    private static final double MAX_LOAD_FACTOR = 0.8;

    private final RecordNames records;
    /** Each slot holds a place + 1, or 0 if it is empty. */
    private int[] slots = new int[INITIAL_SLOTS];

    private int size;

    NameIndex(RecordNames records) {
        this.records = records;
    }

    /** Names in the index. */
    int size() {
        return size;
    }

    /** Bytes of heap in arrays. */
    long bytes() {
        return (long) Integer.BYTES * slots.length;
    }

    /** The slot of a name or, if the name is not in the index, the empty slot where it would go. */
    int slot(byte[] name, long hash) {
        int mask = slots.length - 1;
        int slot = (int) hash & mask;
        while (slots[slot] != 0 && !records.hasName(slots[slot] - 1, name)) {
            slot = (slot + 1) & mask;
        }
        return slot;
    }

    /** The place in a slot, {@link RecordArena#NONE} if the slot is empty. */
    int place(int slot) {
        return slots[slot] - 1;
    }

    /** Puts a place into the slot of its name. */
    void set(int slot, int place) {
        slots[slot] = place + 1;
    }

    /**
     * Counts a name that is about to be added and grows the table if it becomes too full.
     *
     * @param slot the empty slot of the name so far
     * @return the empty slot of the name from now on
     */
    int reserve(int slot, byte[] name, long hash) {
        size++;
        if (size <= MAX_LOAD_FACTOR * slots.length) {
            return slot;
        }
        grow();
        return slot(name, hash);
    }

    /** Empties a slot and moves later names up, so that no search ends before it reaches its name. */
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

    /** Passes each place on, in the order of the slots. */
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
