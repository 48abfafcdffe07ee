package gatelock.config;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.List;

/**
 * The diagnostics of one document. Keeps the first ones and counts the others, as a document can have more of them than
 * fit into memory. If there is an error, one is kept.
 */
final class BoundedDiagnostics extends AbstractList<Diagnostic> {
    private final int maxSize;
    private final List<Diagnostic> kept = new ArrayList<>();
    private int omitted;
    private boolean hasErrors;

    /** Creates an empty list that keeps at most this many diagnostics. */
    BoundedDiagnostics(int maxSize) {
        this.maxSize = maxSize;
    }

    @Override
    public boolean add(Diagnostic diagnostic) {
        if (kept.size() < maxSize) {
            kept.add(diagnostic);
        } else {
            omitted++;
            if (diagnostic.isError() && !hasErrors) {
                kept.set(maxSize - 1, diagnostic);
            }
        }
        hasErrors |= diagnostic.isError();
        return true;
    }

    /** Returns whether any diagnostic that was added is an error. */
    boolean hasErrors() {
        return hasErrors;
    }

    /** Returns the number of diagnostics that were added and are not kept. */
    int omitted() {
        return omitted;
    }

    @Override
    public Diagnostic get(int index) {
        return kept.get(index);
    }

    @Override
    public int size() {
        return kept.size();
    }
}
