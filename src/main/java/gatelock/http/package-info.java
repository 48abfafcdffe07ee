/**
 * The client-facing HTTP server: {@link gatelock.http.ClientListener} accepts and bounds connections and
 * {@link gatelock.http.RequestReader} reads and validates one request at a time.
 */
package gatelock.http;
