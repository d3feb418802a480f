/**
 * The replicated types: the values that routers share, each with its merge function and encoding, and the readers that
 * turn this router's replica of them into what it may act on. {@code docs/sharing-kinds.md} explains what is safe to
 * conclude from a value.
 *
 * <p>The package is pure: it sends nothing, stores nothing and reads no clock. It may use {@code clayhook.fleet} and
 * nothing else of the project. Each value says who observed it and when; no reader concludes anything from the absence
 * of a value. Start with {@link clayhook.fleet.types.NodeObservation} and its reader
 * {@link clayhook.fleet.types.PeerObservations}.
 */
package clayhook.fleet.types;
