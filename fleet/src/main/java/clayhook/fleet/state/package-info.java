/**
 * The replicated state: mergeable values (CRDTs) that are replicated by broadcasts to random members and by comparison
 * of hash trees (anti-entropy), and that expire by their own timestamps. The code is single-threaded and uses no clock
 * and no sockets; it may depend on the interfaces of {@code clayhook.fleet} and the hashing library only.
 * {@link clayhook.fleet.state.ReplicatedState} is the entry point, and {@link clayhook.fleet.state.StateMessage} lists
 * the messages. {@code docs/sharing-state.md} specifies the rules and the limits of the guarantees.
 */
package clayhook.fleet.state;
