/**
 * Client of the discovery service. {@link gatelock.discovery.DiscoveryClient} fetches the endpoint list and watches it
 * for changes. Lists are read from a buffered or a streamed response and applied by
 * {@link gatelock.discovery.EndpointListApplier}. The format of a list is validated only in this package.
 */
package gatelock.discovery;
