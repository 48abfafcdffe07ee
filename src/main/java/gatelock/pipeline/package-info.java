/**
 * The stages that a request passes after it was read, one class each: {@link gatelock.pipeline.RequestAdmitter},
 * {@link gatelock.pipeline.EndpointResolver}, {@link gatelock.pipeline.AttemptSender},
 * {@link gatelock.pipeline.ResponseWriter} and {@link gatelock.pipeline.OutcomeRecorder}.
 * {@link gatelock.pipeline.ActionExecutor} carries out what the decision engine orders. All of it runs on the one I/O
 * thread; nothing blocks and nothing is decided here.
 */
package gatelock.pipeline;
