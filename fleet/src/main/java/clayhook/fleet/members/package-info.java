/**
 * Who is a member of the fleet: a roster by seeds and gossip, after SWIM with the care of Lifeguard;
 * {@code docs/sharing.md} gives the sources and what differs.
 */
package clayhook.fleet.members;
