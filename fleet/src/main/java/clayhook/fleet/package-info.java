/**
 * The base of the gossip protocols between routers: packets, their field encoding, and the interfaces of protocols, of
 * the membership and of the replicated store.
 *
 * <p>Pure: time, randomness and addresses are handed in, packets are handed out. No class of this module starts a
 * thread, opens a socket or reads a clock, so that the same code runs in virtual time in the simulation and in
 * {@code serve}.
 *
 * <p>Start reading at {@link clayhook.fleet.MessageDispatcher} and {@link clayhook.fleet.ProtocolHandler}; the
 * protocols are in {@code members} and {@code state}, the replicated types in {@code types}.
 */
package clayhook.fleet;
