package gatelock.config;

import java.util.function.UnaryOperator;

/**
 * The attributes of a request by which its route is chosen.
 *
 * @param method the HTTP method
 * @param host the requested host without a port, or null
 * @param path the path as received, without the query
 * @param headers returns the first value of a header by its name in any case, or null
 */
public record RequestAttributes(String method, String host, String path, UnaryOperator<String> headers) {}
