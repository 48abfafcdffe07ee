/**
 * Versioned configuration, all of it that decides anything: what a version says and whether it is sound
 * ({@link gatelock.plan.ConfigDocument}, {@link gatelock.plan.ConfigValidator}, {@link gatelock.plan.ConfigCompiler}), what is in
 * force
 * ({@link gatelock.plan.CompiledConfig}), which versions follow one another ({@link gatelock.plan.VersionTracker}), and
 * what it
 * means for a req ({@link gatelock.plan.Admission}). Nothing here does I/O or reads a clock; times are whole
 * microseconds that the caller brings.
 */
package gatelock.plan;
