package gatelock.api;

/**
 * What was set for one request beyond the charter's terms. It only narrows: a gate that heeds it does nothing
 * that it
 * would not have been free to do without.
 */
public interface RequestConstraints {

    /** Nothing was set. */
    RequestConstraints NONE = new RequestConstraints() {
        @Override
        public boolean reaches(String endpoint) {
            return true;
        }

        @Override
        public int mostAttempts() {
            return Integer.MAX_VALUE;
        }

        @Override
        public long attemptUs() {
            return 0;
        }

        @Override
        public boolean goesOn(long nowUs, AttemptResult last) {
            return true;
        }
    };

    /** Whether an attempt may go to this endpoint. */
    boolean reaches(String endpoint);

    /** How many attempts there may be at the most, the first one included. */
    int mostAttempts();

    /** How long one attempt may take, in microseconds; 0: as long as the request. */
    long attemptUs();

    /** Whether one more try may follow one that ended so; a yes is counted as that attempt. */
    boolean goesOn(long nowUs, AttemptResult last);
}
