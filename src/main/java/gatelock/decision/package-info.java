/**
 * The decisions of a relay: {@link gatelock.decision.ReleaseGate} and the modules that it delegates to.
 *
 * <ul>
 *   <li>Requests: {@link gatelock.decision.RequestRouter} sends, retries and rejects them. It asks {@link
 *       gatelock.decision.AdmissionControl} whether there is capacity, {@link gatelock.decision.EndpointSelector} for
 *       an endpoint and {@link gatelock.decision.RetryBudget} for a retry. The selector asks {@link
 *       gatelock.decision.ExposureBudget} whether the canary's cap allows the request, {@link
 *       gatelock.decision.EndpointCapacity} and {@link gatelock.decision.SlowStart} whether an endpoint has capacity,
 *       {@link gatelock.decision.OutlierDetector} whether it is ejected, and {@link gatelock.decision.StickyBuilds}
 *       whether the request's key may go to its build.
 *   <li>Outcomes: {@link gatelock.decision.AttemptResultRecorder} records how each attempt ended.
 *   <li>Votes: {@link gatelock.decision.VotePolicy} decides on a verdict from {@link gatelock.decision.CanaryAnalysis}
 *       and the {@link gatelock.decision.StageClock}; {@link gatelock.decision.VoteCaster} casts it. The analysis is
 *       based on {@link gatelock.decision.ThresholdComparison} and {@link gatelock.decision.EndpointCountAnalysis}.
 *   <li>State: {@link gatelock.decision.EndpointRegistry} contains the endpoints and builds that discovery lists,
 *       {@link gatelock.decision.RolloutState} the newest build as the release controller describes it.
 * </ul>
 *
 * <p>Nothing in this package does I/O, reads a clock or starts a thread. Exponentially decaying values and random draws
 * depend on the order in which they are read and drawn, so that a change of that order changes decisions.
 */
package gatelock.decision;
