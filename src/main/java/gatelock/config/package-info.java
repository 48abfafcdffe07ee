/**
 * Versioned configuration, without any I/O and without reading a clock: times are whole microseconds that the caller
 * passes in.
 *
 * <ul>
 *   <li>Reading and checking a version: {@link gatelock.config.ConfigDocument}, {@link
 *       gatelock.config.SchemaValidator}, {@link gatelock.config.ConfigValidator}, {@link
 *       gatelock.config.ConfigCompiler}, {@link gatelock.config.Diagnostic}.
 *   <li>The compiled version: {@link gatelock.config.CompiledConfig} with its {@link gatelock.config.RouteTable}.
 *   <li>The succession of versions, with history and rollback: {@link gatelock.config.VersionTracker}.
 *   <li>What the active version means for a request: {@link gatelock.config.Admission}, with {@link
 *       gatelock.config.RequestLimiter} and {@link gatelock.config.PoolMembership}.
 *   <li>Commands on versions: {@link gatelock.config.ConfigDiff}, {@link gatelock.config.RouteExplainer}.
 * </ul>
 */
package gatelock.config;
