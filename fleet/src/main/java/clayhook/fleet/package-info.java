/**
 * Foundation of the gossip protocols between routers: packets, their field encoding, and the interfaces of protocol
 * handlers, of the membership view and of the replicated store.
 *
 * <p>The module performs no I/O: callers pass in time, random seeds and addresses, and receive the packets to send. No
 * class of this module starts a thread, opens a socket or reads a clock, so the same code runs in virtual time in the
 * simulation and in real time in {@code serve}.
 *
 * <p>The entry points are {@link clayhook.fleet.MessageDispatcher} and {@link clayhook.fleet.ProtocolHandler}. The
 * packages {@code members} and {@code state} implement the protocols, the package {@code types} the replicated types.
 */
package clayhook.fleet;
