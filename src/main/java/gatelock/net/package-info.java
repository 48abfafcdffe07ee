/**
 * Network primitives shared by all clients and servers of the relay: the {@link gatelock.net.EventLoop},
 * {@link gatelock.net.OutboundConnection} and its {@link gatelock.net.ConnectionPool}, the HTTP/1.1
 * {@link gatelock.net.ResponseReader} and type-checked {@link gatelock.net.JsonObject JSON messages}. No method here
 * blocks.
 */
package gatelock.net;
