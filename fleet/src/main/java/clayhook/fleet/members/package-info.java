/**
 * Fleet membership: which routers are alive, found through seeds and gossip. The protocol is SWIM with the Lifeguard
 * extensions; {@code docs/sharing-members.md} gives the sources and the deviations.
 *
 * <p>The package is pure: it does no I/O, starts no threads and reads no clock. It may use {@code clayhook.fleet} and
 * nothing else of the project. Start with {@link clayhook.fleet.members.Membership}, which receives messages and ticks;
 * then {@code MemberClaim}, what members say about each other, and {@code ClaimProcessor}, which turns claims into
 * changes of the membership table.
 */
package clayhook.fleet.members;
