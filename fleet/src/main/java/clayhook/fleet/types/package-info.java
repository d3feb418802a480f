/**
 * The replicated types: the values that routers share, each with its merge function and encoding, and the readers that
 * derive from this router's replica what it may act on. {@code docs/sharing-kinds.md} explains which conclusions from a
 * value are safe.
 *
 * <p>The package performs no I/O: it sends nothing, stores nothing and reads no clock. It may use
 * {@code clayhook.fleet} and no other package of the project. Each value holds the router that observed it and the
 * time; no reader concludes anything from the absence of a value. Start with
 * {@link clayhook.fleet.types.NodeObservation} and its reader {@link clayhook.fleet.types.PeerObservations}.
 */
package clayhook.fleet.types;
