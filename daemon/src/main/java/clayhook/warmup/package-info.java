/**
 * Warms the process up before it serves, and the stubs of nodes, discovery and clients that this takes, which tests and
 * benchmarks use as well. The build records the classes that a warm-up loads.
 *
 * <p>Uses the whole server ({@code clayhook.serve}) and the transport; nothing that serves uses it. Start with
 * {@link clayhook.warmup.WarmUp}.
 */
package clayhook.warmup;
