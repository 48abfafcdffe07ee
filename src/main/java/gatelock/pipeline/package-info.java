/**
 * The stages that a request passes after it was read, one class each: {@link gatelock.pipeline.RequestAdmitter},
 * {@link gatelock.pipeline.EndpointResolver}, {@link gatelock.pipeline.AttemptSender},
 * {@link gatelock.pipeline.ResponseWriter} and {@link gatelock.pipeline.OutcomeRecorder}.
 * {@link gatelock.pipeline.ActionExecutor} executes the actions that the decision engine requests. All of this runs on
 * the single I/O thread. No method here blocks, and no decisions are made here.
 */
package gatelock.pipeline;
