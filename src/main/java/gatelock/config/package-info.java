/**
 * Versioned configuration. This package does no I/O and reads no clock: the caller passes times in whole microseconds.
 *
 * <ul>
 *   <li>Parsing and validating a version: {@link gatelock.config.ConfigDocument}, {@link
 *       gatelock.config.SchemaValidator}, {@link gatelock.config.ConfigValidator}, {@link
 *       gatelock.config.ConfigCompiler}, {@link gatelock.config.Diagnostic}.
 *   <li>The compiled version: {@link gatelock.config.CompiledConfig} with its {@link gatelock.config.RouteTable}.
 *   <li>The order of versions, with history and rollback: {@link gatelock.config.VersionTracker}.
 *   <li>Applying the active version to requests: {@link gatelock.config.Admission}, with {@link
 *       gatelock.config.RequestLimiter} and {@link gatelock.config.PoolMembership}.
 *   <li>Commands on versions: {@link gatelock.config.ConfigDiff}, {@link gatelock.config.RouteExplainer}.
 * </ul>
 */
package gatelock.config;
