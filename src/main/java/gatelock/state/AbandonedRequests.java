package gatelock.state;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/** The ids of the latest requests that may have been executed, but whose clients left before they got a response. */
final class AbandonedRequests {
    /** Bounds the memory: an id has at most 256 characters. */
    private static final int MAX_IDS = 4_096;

    private final Set<String> ids = new LinkedHashSet<>();

    /** Adds an id, and forgets the oldest one if there are too many. */
    void add(String id) {
        ids.remove(id);
        ids.add(id);
        if (ids.size() > MAX_IDS) {
            Iterator<String> oldest = ids.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns whether a request with this id was abandoned. */
    boolean contains(String id) {
        return ids.contains(id);
    }
}
