package gatelock.config;

import java.util.function.UnaryOperator;

/**
 * The attributes of a request that determine its route.
 *
 * @param method the HTTP method
 * @param host the requested host without a port, or null if the request has none
 * @param path the path as received, without the query
 * @param headers returns the first value of a header by its case-insensitive name, or null if the header is absent
 */
public record RequestAttributes(String method, String host, String path, UnaryOperator<String> headers) {}
