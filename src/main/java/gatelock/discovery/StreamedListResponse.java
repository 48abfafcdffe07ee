package gatelock.discovery;

import gatelock.membership.EndpointEntry;
import gatelock.membership.EndpointSubset;
import gatelock.net.BodyConsumer;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.net.MalformedMessageException;
import gatelock.net.MalformedResponseException;
import gatelock.net.ResponseTooLongException;
import gatelock.state.UpstreamResponse;
import java.io.IOException;

/**
 * Handles the response to one poll of a relay with a subset. Its entries are passed to the subset as they arrive, but
 * take effect only once the whole list has arrived and is well formed.
 */
final class StreamedListResponse extends ListResponseHandler implements BodyConsumer, EndpointListReader.EntryConsumer {
    /**
     * The longest time without any data of a list. This limit and {@link #TOTAL_TIMEOUT_US} guard only against lists
     * that stop arriving, or arrive so slowly that they are of no use: a list may have many megabytes and take as long
     * as the network needs. A list whose transfer would have resumed after a longer pause is polled again.
     */
    static final long DATA_TIMEOUT_US = 1_000_000;

    /** The longest time until a list has arrived completely. */
    static final long TOTAL_TIMEOUT_US = 30_000_000;

    private final boolean fullRequested;
    private final long maxListBytes;
    private final EndpointEntryReader entryReader;
    private final EventLoop eventLoop;
    private final EndpointListApplier applier;
    private EndpointListReader listReader;
    private long receivedBytes;
    private EndpointSubset.ListUpdate update;
    private boolean empty = true;

    /**
     * Creates the handler of one poll.
     *
     * @param fullRequested whether a full list was requested, rather than the changes since an index
     * @param maxListBytes the maximum length of the list
     */
    StreamedListResponse(
            boolean fullRequested,
            long maxListBytes,
            EndpointEntryReader entryReader,
            EventLoop eventLoop,
            EndpointListApplier applier,
            ListResponseListener listener) {
        super(listener);
        this.fullRequested = fullRequested;
        this.maxListBytes = maxListBytes;
        this.entryReader = entryReader;
        this.eventLoop = eventLoop;
        this.applier = applier;
    }

    @Override
    public void onHead(int status, long contentLength) throws MalformedResponseException {
        if (status != 200) {
            throw new MalformedResponseException("status " + status);
        }
        ResponseTooLongException.checkDeclared(contentLength, maxListBytes);
        listReader = new EndpointListReader(fullRequested, this);
    }

    @Override
    public void onBody(byte[] data) throws MalformedResponseException {
        receivedBytes += data.length;
        ResponseTooLongException.checkReceived(receivedBytes, maxListBytes);
        try {
            listReader.read(data);
        } catch (IOException e) {
            throw new MalformedResponseException(e.getMessage(), e);
        }
    }

    @Override
    public void onBegin(boolean full) {
        update = applier.beginUpdate(full);
    }

    @Override
    public void onEntry(JsonObject entry) throws IOException {
        EndpointEntry endpoint = entryReader.read(entry, eventLoop.nowUs());
        empty = false;
        try {
            update.add(endpoint);
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(e.getMessage(), e);
        }
    }

    @Override
    public boolean onResponse(UpstreamResponse response) {
        EndpointListReader.ListHeader header;
        try {
            header = listReader.end();
        } catch (EndpointListReader.UnexpectedListTypeException e) {
            listener.rejectedForUnexpectedType(e.getMessage());
            return false;
        } catch (IOException e) {
            listener.rejected(e.getMessage());
            return false;
        }
        // A watch that discovery ended without a change has no entries.
        listener.accepted(header.index(), header.full() || !empty, () -> {
            applier.apply(update, header.index());
            if (header.full()) {
                listener.fullListApplied();
            }
        });
        return true;
    }

    @Override
    String truncationReason() {
        return listReader == null ? null : "the connection ended before the list was complete";
    }

    @Override
    public void onTimeout() {
        if (listReader == null) {
            listener.notReceived();
        } else {
            listener.rejected("no data of the list for " + DATA_TIMEOUT_US / 1_000 + " ms, or list not complete after "
                    + TOTAL_TIMEOUT_US / 1_000 + " ms");
        }
    }
}
