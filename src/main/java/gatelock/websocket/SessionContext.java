package gatelock.websocket;

import gatelock.api.DecisionEngine;
import gatelock.net.EventLoop;
import gatelock.pipeline.AttemptSender;
import gatelock.session.SessionRegistry;
import gatelock.state.Counters;
import io.undertow.connector.ByteBufferPool;

/**
 * The components that all sessions of a relay share.
 *
 * @param loop the event loop of the only I/O thread
 * @param counters the relay's counters
 * @param attempts sends opening handshakes to endpoints
 * @param engine decides whether a message may be forwarded to its endpoint
 * @param sessions all sessions of the relay
 * @param buffers buffer pool for the connections to endpoints
 */
record SessionContext(
        EventLoop loop,
        Counters counters,
        AttemptSender attempts,
        DecisionEngine engine,
        SessionRegistry sessions,
        ByteBufferPool buffers) {}
