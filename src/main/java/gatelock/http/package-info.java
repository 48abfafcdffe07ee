/**
 * The client-facing HTTP server. {@link gatelock.http.ClientListener} accepts and bounds connections;
 * {@link gatelock.http.RequestReader} validates, reads and accepts one request at a time;
 * {@link gatelock.http.HttpResponseSink} writes its response. All of it runs on the one I/O thread.
 */
package gatelock.http;
