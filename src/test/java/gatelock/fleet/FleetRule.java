package gatelock.fleet;

/** The rules that a fleet must keep. */
enum FleetRule {
    /** Rule 1: every accepted request gets exactly one response before its deadline. */
    EXACTLY_ONE_RESPONSE("rule 1"),
    /** Rule 2: a non-retriable request is executed at most once. */
    AT_MOST_ONE_EXECUTION("rule 2"),
    /** Rule 3: a relay sends no attempt to an endpoint that it knows to be draining or gone. */
    NO_ATTEMPTS_TO_UNAVAILABLE_ENDPOINTS("rule 3"),
    /** Rule 4: the work sent to a cold endpoint stays below a multiple of its capacity. */
    COLD_ENDPOINT_LOAD("rule 4"),
    /** Rule 5: the attempts sent to the canary stay within the exposure cap of the stage. */
    CANARY_EXPOSURE("rule 5"),
    /** Every change of the endpoint list reaches every relay. */
    CHANGE_DELIVERY("change delivery"),
    /**
     * Rule 3 measured from the change in discovery: once the propagation limit has passed, no relay sends an attempt to
     * an endpoint that is draining or gone, even if the relay has not received the change.
     */
    PROPAGATION_DELAY("propagation delay"),
    /** With subsetting, the relays that hold one endpoint do not exceed a limit. */
    HOLDER_LIMIT("holder limit");

    private final String label;

    FleetRule(String label) {
        this.label = label;
    }

    /** Returns the name of the rule in reports. */
    String label() {
        return label;
    }
}
