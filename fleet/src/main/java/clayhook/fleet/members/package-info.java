/**
 * Fleet membership: detects through seeds and gossip which routers are alive. The protocol is SWIM with the Lifeguard
 * extensions; {@code docs/sharing-members.md} lists the sources and the deviations from them.
 *
 * <p>The package does no I/O, starts no threads and reads no clock. Of the project's packages, it may depend only on
 * {@code clayhook.fleet}. The entry point is {@link clayhook.fleet.members.Membership}, which receives messages and
 * ticks. {@code MemberClaim} is a statement about the status of a member, and {@code ClaimProcessor} applies claims to
 * the membership table.
 */
package clayhook.fleet.members;
