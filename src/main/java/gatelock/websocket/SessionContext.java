package gatelock.websocket;

import gatelock.api.DecisionEngine;
import gatelock.net.EventLoop;
import gatelock.pipeline.OutcomeRecorder;
import gatelock.session.SessionRegistry;
import gatelock.state.Counters;
import io.undertow.connector.ByteBufferPool;

/**
 * What all sessions of a relay work with.
 *
 * @param loop the one I/O thread
 * @param recorder takes in the outcomes of opening handshakes
 * @param engine decides whether a message may go to its endpoint
 * @param buffers of the connections to endpoints
 */
record SessionContext(
        EventLoop loop,
        Counters counters,
        OutcomeRecorder recorder,
        DecisionEngine engine,
        SessionRegistry sessions,
        ByteBufferPool buffers) {}
