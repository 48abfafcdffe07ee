package gatelock.config;

import java.util.function.UnaryOperator;

/**
 * What a request's entry depends on.
 *
 * @param host without a port, or null
 * @param path as it came, without the query
 * @param headers the first value of a header by its name in any case, or null
 */
public record RequestAttributes(String method, String host, String path, UnaryOperator<String> headers) {}
