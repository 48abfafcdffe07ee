package gatelock.membership;

import java.util.Arrays;

/**
 * Memory for the records of the {@link EndpointStore}: pages of 64 KB that are allocated as they are needed. A record
 * lies on one page and is identified by its place, which counts grains of four bytes from the start of the first
 * page. Freed records form one list for each size and are used again for records of that size; nothing is ever moved,
 * so no change stops the thread.
 */
final class RecordArena {
    /** Stands for no place. */
    static final int NONE = -1;

    private static final int PAGE_BITS = 16;
    private static final int PAGE_BYTES = 1 << PAGE_BITS;
    /** A record lies on one page and is no longer than it. */
    static final int MAX_RECORD_BYTES = PAGE_BYTES;

    /** The first page starts small and grows, since most lists are short. */
    private static final int FIRST_PAGE_BYTES = 1 << 10;

    private static final int FIRST_PAGE_GROWTH = 4;
    private static final int GRAIN_BITS = 2;

    private byte[][] pages = new byte[1][];
    /** The place where the next new record begins. */
    private int end;
    /** The last freed place by the size of its record in grains; each freed record links to the next of its size. */
    private int[] freeBySize = new int[0];

    /** The page on which a record lies. */
    byte[] page(int place) {
        return pages[pageNumber(place)];
    }

    private static int pageNumber(int place) {
        return place >>> (PAGE_BITS - GRAIN_BITS);
    }

    /** Where on its page a record begins. */
    static int offset(int place) {
        return (place << GRAIN_BITS) & (PAGE_BYTES - 1);
    }

    /** The link of a record at an offset of the {@link RecordLayout}. */
    int link(int place, int which) {
        return (int) RecordLayout.INT.get(page(place), offset(place) + which);
    }

    /** Sets a link of a record. */
    void setLink(int place, int which, int target) {
        RecordLayout.INT.set(page(place), offset(place) + which, target);
    }

    /** Copies a record to a free place and returns the place. */
    int store(byte[] record, int length) {
        int place = allocate(grains(length));
        System.arraycopy(record, 0, page(place), offset(place), length);
        return place;
    }

    /** Frees a record of this length; its bytes other than the first link remain readable until the next store. */
    void free(int place, int length) {
        int grains = grains(length);
        if (grains >= freeBySize.length) {
            int known = freeBySize.length;
            freeBySize = Arrays.copyOf(freeBySize, grains + 1);
            Arrays.fill(freeBySize, known, freeBySize.length, NONE);
        }
        setLink(place, RecordLayout.NEXT, freeBySize[grains]);
        freeBySize[grains] = place;
    }

    /** Bytes of heap in arrays. */
    long bytes() {
        long bytes = (long) Integer.BYTES * freeBySize.length;
        for (byte[] page : pages) {
            if (page != null) {
                bytes += page.length;
            }
        }
        return bytes;
    }

    private static int grains(int bytes) {
        return (bytes + (1 << GRAIN_BITS) - 1) >> GRAIN_BITS;
    }

    private int allocate(int grains) {
        if (grains < freeBySize.length && freeBySize[grains] != NONE) {
            int place = freeBySize[grains];
            freeBySize[grains] = link(place, RecordLayout.NEXT);
            return place;
        }
        int bytes = grains << GRAIN_BITS;
        int offset = offset(end);
        if (offset + bytes > PAGE_BYTES) {
            end += (PAGE_BYTES - offset) >> GRAIN_BITS;
            offset = 0;
        }
        ensurePage(pageNumber(end), offset + bytes);
        int place = end;
        end += grains;
        return place;
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
