/**
 * The event loop and its sockets, the file descriptor budget, and the clock.
 *
 * <p>Start with {@link clayhook.transport.Transport}, through which a router opens all listening sockets and
 * connections. {@link clayhook.transport.DescriptorBudget} divides the file descriptors of the process between clients
 * and nodes, and {@link clayhook.transport.SlewedClock} is the source of all times. The package is independent of the
 * protocols on the connections; it may depend only on Netty and the log.
 */
package clayhook.transport;
