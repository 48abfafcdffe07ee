package gatelock.api;

/**
 * What was set for one req beyond the charter's terms. It only narrows: a gate that heeds it does nothing
 * that it
 * would not have been free to do without.
 */
public interface RequestConstraints {

    /** Nothing was set. */
    RequestConstraints NONE = new RequestConstraints() {
        @Override
        public boolean reaches(String unit) {
            return true;
        }

        @Override
        public int mostTries() {
            return Integer.MAX_VALUE;
        }

        @Override
        public long tryUs() {
            return 0;
        }

        @Override
        public boolean goesOn(long nowUs, AttemptResult last) {
            return true;
        }
    };

    /** Whether a try may go to this unit. */
    boolean reaches(String unit);

    /** How many tries there may be at the most, the first one included. */
    int mostTries();

    /** How long one try may take, in microseconds; 0: as long as the req. */
    long tryUs();

    /** Whether one more try may follow one that ended so; a yes is counted as that try. */
    boolean goesOn(long nowUs, AttemptResult last);
}
