package gatelock.discovery;

import gatelock.api.DecisionEngine;
import gatelock.membership.EndpointEntry;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.net.MalformedMessageException;
import gatelock.state.UpstreamResponse;
import java.io.IOException;
import java.util.List;

/**
 * Handles the response to one poll of a relay without a subset. The list is parsed once it has arrived completely, and
 * a list that is malformed anywhere changes nothing.
 */
final class BufferedListResponse extends ListResponseHandler {
    private final EndpointEntryReader entryReader;
    private final EventLoop eventLoop;
    private final EndpointListApplier applier;

    BufferedListResponse(
            EndpointEntryReader entryReader,
            EventLoop eventLoop,
            EndpointListApplier applier,
            ListResponseListener listener) {
        super(listener);
        this.entryReader = entryReader;
        this.eventLoop = eventLoop;
        this.applier = applier;
    }

    @Override
    public boolean onResponse(UpstreamResponse response) {
        long index;
        boolean full;
        List<EndpointEntry> entries;
        try {
            if (response.status() != 200) {
                throw new MalformedMessageException("status " + response.status());
            }
            JsonObject list = JsonObject.parse(response.body());
            entries = entryReader.readAll(list, eventLoop.nowUs());
            full = list.isTrue("snapshot");
            index = list.nonNegativeLong("index");
        } catch (IOException e) {
            listener.rejected(e.getMessage());
            return false;
        }
        DecisionEngine.EndpointUpdateType updateType =
                full ? DecisionEngine.EndpointUpdateType.FULL : DecisionEngine.EndpointUpdateType.DELTA;
        listener.accepted(index, full || !entries.isEmpty(), () -> applier.apply(updateType, entries));
        return true;
    }

    @Override
    String truncationReason() {
        // A buffered list is not examined before it is complete, so a truncated one is never detected here.
        return null;
    }
}
