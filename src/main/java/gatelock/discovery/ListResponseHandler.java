package gatelock.discovery;

import gatelock.net.OutboundConnection;

/** Determines the outcome of a poll of the endpoint list. The subclasses differ in how they read the response. */
abstract class ListResponseHandler implements OutboundConnection.ResponseHandler {
    /** Receives the outcome. */
    final ListResponseListener listener;

    private String tooLongReason;
    private String malformedReason;

    ListResponseHandler(ListResponseListener listener) {
        this.listener = listener;
    }

    /**
     * Returns the reason why a list of which a part has arrived cannot be used, or null if none has begun to arrive.
     */
    abstract String truncationReason();

    @Override
    public void onMalformedResponse(String reason) {
        malformedReason = reason;
    }

    @Override
    public void onResponseTooLong(String reason) {
        tooLongReason = reason;
    }

    @Override
    public void onConnectionLost(boolean written) {
        String rejection = malformedReason != null ? malformedReason : truncationReason();
        if (tooLongReason != null) {
            listener.tooLong(tooLongReason);
        } else if (rejection != null) {
            listener.rejected(rejection);
        } else {
            listener.notReceived();
        }
    }

    @Override
    public void onTimeout() {
        listener.notReceived();
    }
}
