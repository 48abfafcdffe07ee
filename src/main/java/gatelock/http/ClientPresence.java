package gatelock.http;

/** What is known of a client whose request waits for its response. */
enum ClientPresence {
    /** All bytes that it has sent are read, and it has not closed the connection. */
    CONNECTED,
    /** It has closed the connection, or the connection is broken. */
    LEFT,
    /** It has sent more bytes behind its request than are read ahead, so a close behind them would not be seen. */
    UNKNOWN
}
