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
 * The response to one poll, read entry by entry into the subset as it arrives. It takes effect only once the whole list
 * has arrived and is well formed.
 */
final class StreamedListResponse extends ListResponseHandler implements BodyConsumer, EndpointListReader.EntryConsumer {
    /**
     * A list may have many megabytes and take as long as the network needs. This bound and the next guard instead
     * against a list that no longer arrives: so long without a byte of it, and so long in total, as a list that
     * trickles in forever is of no use. They do harm where a longer pause would have ended: the list is polled again.
     */
    static final long MAX_PAUSE_US = 1_000_000;

    static final long MAX_TOTAL_US = 30_000_000;

    private final boolean fullRequested;
    private final long maxListBytes;
    private final EndpointEntryReader entryReader;
    private final EventLoop eventLoop;
    private final EndpointListApplier applier;
    private EndpointListReader list;
    private long receivedBytes;
    private EndpointSubset.ListUpdate staged;
    private boolean empty = true;

    /**
     * Creates the handler of one poll.
     *
     * @param fullRequested whether a full list was asked for, and not the changes since an index
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
        list = new EndpointListReader(fullRequested, this);
    }

    @Override
    public void onBody(byte[] piece) throws MalformedResponseException {
        receivedBytes += piece.length;
        ResponseTooLongException.checkReceived(receivedBytes, maxListBytes);
        try {
            list.read(piece);
        } catch (IOException e) {
            throw new MalformedResponseException(e.getMessage(), e);
        }
    }

    @Override
    public void onBegin(boolean full) {
        staged = applier.stage(full);
    }

    @Override
    public void onEntry(JsonObject entry) throws IOException {
        EndpointEntry endpoint = entryReader.read(entry, eventLoop.nowUs());
        empty = false;
        try {
            staged.add(endpoint);
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(e.getMessage(), e);
        }
    }

    @Override
    public boolean onResponse(UpstreamResponse response) {
        EndpointListReader.Header header;
        try {
            header = list.end();
        } catch (EndpointListReader.UnannouncedFormException e) {
            listener.rejectedAsUnannounced(e.getMessage());
            return false;
        } catch (IOException e) {
            listener.rejected(e.getMessage());
            return false;
        }
        // A watch that ended without a change has no entries.
        listener.accepted(header.index(), header.full() || !empty, () -> {
            applier.apply(staged, header.index());
            if (header.full()) {
                listener.fullListApplied();
            }
        });
        return true;
    }

    @Override
    String truncationReason() {
        return list == null ? null : "the list was cut off";
    }

    @Override
    public void onTimeout() {
        if (list == null) {
            listener.silent();
        } else {
            listener.rejected("the list stopped for " + MAX_PAUSE_US / 1_000 + " ms, or took longer than "
                    + MAX_TOTAL_US / 1_000 + " ms");
        }
    }
}
