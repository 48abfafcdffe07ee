package gatelock.decision;

import gatelock.api.DecisionActions;

/** The subscription to the endpoint list. It is renewed with exponential backoff if a request for the list fails. */
final class ListSubscription {
    private static final long MIN_BACKOFF_US = 300_000;
    private static final long MAX_BACKOFF_US = 4 * DecisionClock.SECOND_US;

    private final DecisionActions actions;
    private final long timerToken;
    private long backoffUs = MIN_BACKOFF_US;
    private boolean timerSet;

    /** Creates a subscription whose timers have this token. */
    ListSubscription(DecisionActions actions, long timerToken) {
        this.actions = actions;
        this.timerToken = timerToken;
    }

    /** Subscribes to the endpoint list. */
    void subscribe() {
        actions.subscribeToEndpoints();
    }

    /** Schedules a new attempt after a failed request for the list. */
    void onFailure() {
        if (!timerSet) {
            timerSet = true;
            actions.scheduleTimer(backoffUs, timerToken);
            backoffUs = Math.min(MAX_BACKOFF_US, backoffUs * 2);
        }
    }

    /** Resets the backoff because a list arrived. */
    void onList() {
        backoffUs = MIN_BACKOFF_US;
    }

    /** Subscribes again after the backoff. */
    void onTimer() {
        timerSet = false;
        actions.subscribeToEndpoints();
    }
}
