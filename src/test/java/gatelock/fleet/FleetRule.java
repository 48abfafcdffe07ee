package gatelock.fleet;

/** The rules that a fleet has to keep, as the checker names them. */
enum FleetRule {
    /** Rule 1: every accepted request gets exactly one answer, in time. */
    ONE_ANSWER("rule 1"),
    /** Rule 2: a request that is not idempotent runs at most once. */
    NO_REPEATED_EFFECT("rule 2"),
    /** Rule 3: nothing is sent to an endpoint that the relay knows to be leaving. */
    NOTHING_TO_LEAVING_ENDPOINTS("rule 3"),
    /** Rule 4: the work sent to a cold endpoint stays under a multiple of its capacity. */
    COLD_ENDPOINT_LOAD("rule 4"),
    /** Rule 5: attempts at the canary stay within the cap of the stage. */
    CANARY_EXPOSURE("rule 5"),
    /** Every change of the endpoint list reaches every relay. */
    CHANGE_DELIVERY("change"),
    /** Rule 3 by discovery's clock: nothing is sent to an endpoint that left longer ago than a change may take. */
    PROPAGATION_DELAY("told late"),
    /** With subsets no endpoint is held by all or most relays. */
    HOLDER_LIMIT("held");

    private final String label;

    FleetRule(String label) {
        this.label = label;
    }

    /** How reports name the rule. */
    String label() {
        return label;
    }
}
