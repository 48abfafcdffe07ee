package gatelock.discovery;

import gatelock.net.OutboundConnection;

/** Finds out how a poll of the endpoint list ended, whichever way its response is read. */
abstract class ListResponseHandler implements OutboundConnection.ResponseHandler {
    /** Learns the outcome. */
    final ListResponseListener listener;

    private String tooLongReason;
    private String malformedReason;

    ListResponseHandler(ListResponseListener listener) {
        this.listener = listener;
    }

    /** Returns why a list that began to arrive can't be used, or null where none has begun. */
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
            listener.silent();
        }
    }

    @Override
    public void onTimeout() {
        listener.silent();
    }
}
