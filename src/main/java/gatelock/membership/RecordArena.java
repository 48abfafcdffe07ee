package gatelock.membership;

import java.util.Arrays;

/**
 * Memory for the records of the {@link EndpointStore}, in pages of 64 KB that are allocated on demand. A record lies
 * within one page and is identified by its handle: its distance from the start of the first page, in words of four
 * bytes. Freed records form one free list per size and are reused for records of that size. Records are never moved, so
 * no update causes a pause for compaction.
 */
final class RecordArena {
    /** The handle that stands for no record. */
    static final int NONE = -1;

    private static final int PAGE_BITS = 16;
    private static final int PAGE_BYTES = 1 << PAGE_BITS;
    /** Maximum length of a record, which must fit into one page. */
    static final int MAX_RECORD_BYTES = PAGE_BYTES;

    /** Initial size of the first page, which starts small and grows because most lists are short. */
    private static final int FIRST_PAGE_BYTES = 1 << 10;

    private static final int FIRST_PAGE_GROWTH = 4;
    private static final int WORD_SHIFT = 2;

    private byte[][] pages = new byte[1][];
    /** The handle of the next record that is not allocated from a free list. */
    private int end;
    /** The head of each free list, by record size in words; a freed record links to the next one of its size. */
    private int[] freeListHeads = new int[0];

    /** Returns the page that holds a record. */
    byte[] page(int handle) {
        return pages[pageNumber(handle)];
    }

    private static int pageNumber(int handle) {
        return handle >>> (PAGE_BITS - WORD_SHIFT);
    }

    /** Returns the offset of a record in its page. */
    static int offset(int handle) {
        return (handle << WORD_SHIFT) & (PAGE_BYTES - 1);
    }

    /**
     * Returns a link of a record.
     *
     * @param linkOffset {@link RecordLayout#NEXT} or {@link RecordLayout#PREVIOUS}
     */
    int link(int handle, int linkOffset) {
        return (int) RecordLayout.INT.get(page(handle), offset(handle) + linkOffset);
    }

    /**
     * Sets a link of a record.
     *
     * @param linkOffset {@link RecordLayout#NEXT} or {@link RecordLayout#PREVIOUS}
     */
    void setLink(int handle, int linkOffset, int target) {
        RecordLayout.INT.set(page(handle), offset(handle) + linkOffset, target);
    }

    /** Copies a record into the arena and returns its handle. */
    int store(byte[] record, int length) {
        int handle = allocate(words(length));
        System.arraycopy(record, 0, page(handle), offset(handle), length);
        return handle;
    }

    /** Frees a record of this length. Except for the first link, its bytes remain readable until the next store. */
    void free(int handle, int length) {
        int words = words(length);
        if (words >= freeListHeads.length) {
            int previousLength = freeListHeads.length;
            freeListHeads = Arrays.copyOf(freeListHeads, words + 1);
            Arrays.fill(freeListHeads, previousLength, freeListHeads.length, NONE);
        }
        setLink(handle, RecordLayout.NEXT, freeListHeads[words]);
        freeListHeads[words] = handle;
    }

    /** Returns the heap size of the arrays in bytes. */
    long bytes() {
        long bytes = (long) Integer.BYTES * freeListHeads.length;
        for (byte[] page : pages) {
            if (page != null) {
                bytes += page.length;
            }
        }
        return bytes;
    }

    private static int words(int bytes) {
        return (bytes + (1 << WORD_SHIFT) - 1) >> WORD_SHIFT;
    }

    private int allocate(int words) {
        if (words < freeListHeads.length && freeListHeads[words] != NONE) {
            int handle = freeListHeads[words];
            freeListHeads[words] = link(handle, RecordLayout.NEXT);
            return handle;
        }
        int bytes = words << WORD_SHIFT;
        int offset = offset(end);
        if (offset + bytes > PAGE_BYTES) {
            end += (PAGE_BYTES - offset) >> WORD_SHIFT;
            offset = 0;
        }
        ensurePage(pageNumber(end), offset + bytes);
        int handle = end;
        end += words;
        return handle;
    }

    private void ensurePage(int number, int bytes) {
        if (number == pages.length) {
            pages = Arrays.copyOf(pages, pages.length * 2);
        }
        if (pages[number] == null) {
            pages[number] = new byte[number == 0 ? FIRST_PAGE_BYTES : PAGE_BYTES];
        }
        if (pages[number].length < bytes) {
            int grown = Math.max(bytes, pages[number].length * FIRST_PAGE_GROWTH);
            pages[number] = Arrays.copyOf(pages[number], Math.min(PAGE_BYTES, grown));
        }
    }
}
