/**
 * Client of the release controller: {@link gatelock.release.ReleaseControllerClient} casts votes, and
 * {@link gatelock.release.NewsSubscription} keeps a connection open on which the state of the newest build is pushed.
 */
package gatelock.release;
