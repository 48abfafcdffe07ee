/**
 * All that is spoken on sockets. A req passes a chain of stages, a unit each: {@link gatelock.wire.RequestReader},
 * {@link gatelock.wire.RequestAdmitter}, {@link gatelock.wire.EndpointResolver}, {@link gatelock.wire.AttemptSender},
 * {@link gatelock.wire.ResponseWriter}, {@link gatelock.wire.OutcomeRecorder}. Beside them stand {@link gatelock.wire.DiscoveryClient}
 * and {@link gatelock.wire.ReleaseControllerClient}. One I/O thread runs all of it; nothing blocks and nothing is decided here.
 */
package gatelock.wire;
