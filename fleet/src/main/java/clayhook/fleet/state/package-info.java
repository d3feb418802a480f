/**
 * The replicated state: values that merge (CRDTs), spread by broadcast to random members, are compared by hash trees
 * (anti-entropy) and expire by their own timestamps. Pure code for one thread: no clock, no sockets; it may use the
 * interfaces of {@code clayhook.fleet} and the hashing library. Start reading at
 * {@link clayhook.fleet.state.ReplicatedState}; {@link clayhook.fleet.state.StateMessage} leads to the messages, and
 * {@code docs/sharing-state.md} gives the rules and what is not guaranteed.
 */
package clayhook.fleet.state;
