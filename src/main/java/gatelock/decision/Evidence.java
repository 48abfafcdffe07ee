package gatelock.decision;

/** The figures on which an assessment of a build rests, as a vote's log line gives them. */
sealed interface Evidence {

    /** The text of the log line. On-call pages quote it. */
    String logText();

    /** Nothing was compared yet. */
    record Nothing() implements Evidence {
        @Override
        public String logText() {
            return "";
        }
    }

    /**
     * Bootstrapped intervals against their bars.
     *
     * @param outcomes how many outcomes were looked at
     * @param errors the share of errors; null where the outcomes were too few
     * @param slowness the relative slowness at the percentile; null where it was not looked at
     */
    record Intervals(int outcomes, Comparison errors, Comparison slowness) implements Evidence {
        @Override
        public String logText() {
            String text = outcomes + " outcomes";
            if (errors != null) {
                text += String.format(", errors %.3f to %.3f, bar %.3f", errors.lower(), errors.upper(), errors.bar());
            }
            if (slowness != null) {
                text += String.format(
                        ", slowness %.2f to %.2f, bar %.2f", slowness.lower(), slowness.upper(), slowness.bar());
            }
            return text;
        }
    }

    /** How many of the endpoints had an outcome past a bar which a given share of outcomes may be past. */
    record EndpointsPastBar(int outcomes, int endpoints, double bar) implements Evidence {
        @Override
        public String logText() {
            return outcomes + " outcomes, " + endpoints + " endpoints past the bar of " + String.format("%.3f", bar);
        }
    }

    /** An interval and the bar it is set against. */
    record Comparison(Bootstrap.Interval interval, double bar) {
        double lower() {
            return interval.lower();
        }

        double upper() {
            return interval.upper();
        }

        /** Whether the whole interval is above the bar. */
        boolean isAbove() {
            return lower() > bar;
        }

        /** Whether the whole interval is below the bar. */
        boolean isBelow() {
            return upper() < bar;
        }
    }
}
