/**
 * Versioned configuration, all of it that decides anything: what a version says and whether it is sound
 * ({@link gatelock.config.ConfigDocument}, {@link gatelock.config.ConfigValidator}, {@link gatelock.config.ConfigCompiler}), what is in
 * force
 * ({@link gatelock.config.CompiledConfig}), which versions follow one another ({@link gatelock.config.VersionTracker}), and
 * what it
 * means for a request ({@link gatelock.config.Admission}). Nothing here does I/O or reads a clock; times are whole
 * microseconds that the caller brings.
 */
package gatelock.config;
