package gatelock.discovery;

import gatelock.api.DecisionEngine;
import gatelock.membership.EndpointEntry;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.net.MalformedMessageException;
import gatelock.state.UpstreamResponse;
import java.io.IOException;
import java.util.List;

/** The response to one poll, read once all of it has arrived. A list that is malformed anywhere changes nothing. */
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
        DecisionEngine.EndpointUpdateType form =
                full ? DecisionEngine.EndpointUpdateType.FULL : DecisionEngine.EndpointUpdateType.DELTA;
        listener.accepted(index, full || !entries.isEmpty(), () -> applier.apply(form, entries));
        return true;
    }

    @Override
    String truncationReason() {
        // Nothing of a buffered list has been looked at before all of it is there.
        return null;
    }
}
