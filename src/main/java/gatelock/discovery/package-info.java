/**
 * Client of the discovery service: {@link gatelock.discovery.DiscoveryClient} fetches the endpoint list and watches its
 * changes. A list is read from a buffered or a streamed response, and applied by
 * {@link gatelock.discovery.EndpointListApplier}; only the readers here check the form of a list.
 */
package gatelock.discovery;
