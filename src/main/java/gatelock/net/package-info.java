/**
 * Network primitives shared by every client and server of the relay: the {@link gatelock.net.EventLoop},
 * {@link gatelock.net.OutboundConnection} and its {@link gatelock.net.ConnectionPool}, the HTTP/1.1
 * {@link gatelock.net.ResponseReader} and type-checked {@link gatelock.net.JsonObject JSON messages}. Nothing here
 * blocks.
 */
package gatelock.net;
