package gatelock.config;

import java.util.List;

/**
 * One entry of the table, with all that it says, inherits or gets by default.
 *
 * @param place in the version's list of routes
 * @param classNo of the class whose terms hold
 * @param pool null: all endpoints
 * @param sessions what is agreed for WebSocket sessions; null: none are
 * @param retries that the entry itself leads to; null where its pool's or the default's hold
 */
record RouteEntry(
        String name,
        int place,
        RouteMatch match,
        int classNo,
        String pool,
        List<LimitPolicy> limits,
        RetryPolicy retries,
        SessionPolicy sessions) {}
