/** Every decision of a relay, in one module: {@link gatelock.decision.ReleaseGate}. */
package gatelock.decision;
