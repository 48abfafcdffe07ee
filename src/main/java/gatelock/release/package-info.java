/**
 * Client of the release controller. {@link gatelock.release.ReleaseControllerClient} casts votes, and
 * {@link gatelock.release.UpdateSubscription} keeps a connection open on which the release controller pushes the state
 * of the newest build.
 */
package gatelock.release;
