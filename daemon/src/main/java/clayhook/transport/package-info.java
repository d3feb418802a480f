/**
 * The event loop and the sockets on it, the budget of file descriptors, and the clock.
 *
 * <p>Start at {@link clayhook.transport.Transport}: everything that listens or connects in a router does so through it.
 * {@link clayhook.transport.DescriptorBudget} divides the process's descriptors between clients and nodes, and
 * {@link clayhook.transport.SlewedClock} is the source of all times. The package knows nothing of what the connections
 * carry; it may use Netty and the log only.
 */
package clayhook.transport;
