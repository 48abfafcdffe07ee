package gatelock.decision;

import gatelock.api.DecisionActions;

/** The subscription to the endpoint list, renewed with a growing backoff where a call for the list fails. */
final class ListSubscription {
    private static final long MIN_BACKOFF_US = 300_000;
    private static final long MAX_BACKOFF_US = 4 * DecisionClock.SECOND_US;

    private final DecisionActions actions;
    private final long timerToken;
    private long backoffUs = MIN_BACKOFF_US;
    private boolean timerSet;

    /** Uses timers with this token. */
    ListSubscription(DecisionActions actions, long timerToken) {
        this.actions = actions;
        this.timerToken = timerToken;
    }

    void subscribe() {
        actions.subscribeToEndpoints();
    }

    void onFailure() {
        if (!timerSet) {
            timerSet = true;
            actions.scheduleTimer(backoffUs, timerToken);
            backoffUs = Math.min(MAX_BACKOFF_US, backoffUs * 2);
        }
    }

    void onList() {
        backoffUs = MIN_BACKOFF_US;
    }

    void onTimer() {
        timerSet = false;
        actions.subscribeToEndpoints();
    }
}
