package gatelock.decision;

/** The measured values on which an assessment of a build is based, as the log line of a vote shows them. */
sealed interface Evidence {

    /** Returns the text for the log line. The on-call documentation quotes it. */
    String logText();

    /** No comparison was possible yet. */
    record None() implements Evidence {
        @Override
        public String logText() {
            return "";
        }
    }

    /**
     * Bootstrapped confidence intervals and their thresholds.
     *
     * @param outcomes the number of outcomes that were compared
     * @param errors the error rate, or null if there were too few outcomes
     * @param slowness the relative slowness at the percentile, or null if it was not compared
     */
    record Intervals(int outcomes, Comparison errors, Comparison slowness) implements Evidence {
        @Override
        public String logText() {
            String text = outcomes + " outcomes";
            if (errors != null) {
                text += String.format(
                        ", errors %.3f to %.3f, bar %.3f", errors.lower(), errors.upper(), errors.threshold());
            }
            if (slowness != null) {
                text += String.format(
                        ", slowness %.2f to %.2f, bar %.2f", slowness.lower(), slowness.upper(), slowness.threshold());
            }
            return text;
        }
    }

    /** The number of endpoints with an outcome above a threshold that the given share of the outcomes may exceed. */
    record EndpointsAboveThreshold(int outcomes, int endpoints, double threshold) implements Evidence {
        @Override
        public String logText() {
            return outcomes + " outcomes, " + endpoints + " endpoints past the bar of "
                    + String.format("%.3f", threshold);
        }
    }

    /** A confidence interval and the threshold that it is compared with. */
    record Comparison(Bootstrap.Interval interval, double threshold) {
        /** Returns the lower end of the interval. */
        double lower() {
            return interval.lower();
        }

        /** Returns the upper end of the interval. */
        double upper() {
            return interval.upper();
        }

        /** Whether the whole interval is above the threshold. */
        boolean isAbove() {
            return lower() > threshold;
        }

        /** Whether the whole interval is below the threshold. */
        boolean isBelow() {
            return upper() < threshold;
        }
    }
}
