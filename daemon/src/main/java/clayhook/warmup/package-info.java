/**
 * Warm-up of the process before it serves clients, with stubs of nodes, the discovery service and clients. Tests and
 * benchmarks use the stubs as well. The build records the classes that a warm-up loads.
 *
 * <p>The package uses the whole server ({@code clayhook.serve}) and the transport; no package that serves clients uses
 * it. Start reading at {@link clayhook.warmup.WarmUp}.
 */
package clayhook.warmup;
