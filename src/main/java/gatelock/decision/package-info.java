/**
 * Every decision of a relay: {@link gatelock.decision.ReleaseGate} and the modules that it passes each call on to.
 *
 * <ul>
 *   <li>Requests: {@link gatelock.decision.RequestRouter} sends, retries and rejects them. It asks
 *       {@link gatelock.decision.AdmissionControl} whether there is capacity, {@link gatelock.decision.EndpointSelector} for
 *       an endpoint and {@link gatelock.decision.RetryBudget} for a retry. The selector asks
 *       {@link gatelock.decision.ExposureBudget} what the canary's cap allows,
 *       {@link gatelock.decision.EndpointCapacity} and {@link gatelock.decision.SlowStart} what an endpoint can take,
 *       {@link gatelock.decision.OutlierDetector} whether it is ejected, and {@link gatelock.decision.StickyBuilds} whether
 *       the request's key may go to its build.
 *   <li>Outcomes: {@link gatelock.decision.AttemptResultRecorder} records how each attempt ended.
 *   <li>Votes: {@link gatelock.decision.VotePolicy} draws the verdict from {@link gatelock.decision.CanaryAnalysis} and the
 *       {@link gatelock.decision.StageClock}; {@link gatelock.decision.VoteCaster} casts it. The analysis rests on
 *       {@link gatelock.decision.ThresholdComparison} and {@link gatelock.decision.EndpointCountAnalysis}.
 *   <li>State: {@link gatelock.decision.EndpointRegistry} keeps endpoints and builds as they are listed,
 *       {@link gatelock.decision.RolloutState} the newest build as the release controller describes it.
 * </ul>
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread. Exponentially decaying figures and random draws depend on the
 * order in which they are read and drawn, so that a change of that order changes decisions.
 */
package gatelock.decision;
