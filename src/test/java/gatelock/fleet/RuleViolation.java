package gatelock.fleet;

/** A single violation of a rule by a fleet. */
record RuleViolation(FleetRule rule, String description) {
    @Override
    public String toString() {
        return rule.label() + ": " + description;
    }
}
