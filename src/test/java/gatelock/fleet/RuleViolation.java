package gatelock.fleet;

/** One case in which a fleet broke a rule. */
record RuleViolation(FleetRule rule, String description) {
    @Override
    public String toString() {
        return rule.label() + ": " + description;
    }
}
