/**
 * The HTTP server for clients. {@link gatelock.http.ClientListener} accepts connections and limits them;
 * {@link gatelock.http.RequestReader} validates, reads and accepts one request at a time;
 * {@link gatelock.http.HttpResponseSink} writes the response. All of this runs on the single I/O thread.
 */
package gatelock.http;
