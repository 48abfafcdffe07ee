/**
 * Client of the discovery service: {@link gatelock.discovery.DiscoveryClient} fetches the endpoint list and watches
 * its changes; the readers beside it are the only place that checks the form of a list.
 */
package gatelock.discovery;
