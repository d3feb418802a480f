/**
 * Adapter between the routing policy and the simulator, which speaks a line protocol on standard input and output in
 * virtual time. The package makes no routing decisions and uses neither the network nor a clock.
 *
 * <p>It uses the policy and the in-flight requests of the core module, and the settings ({@code clayhook.config}).
 * Start reading at {@link clayhook.simulator.SimulatorAdapter}, then {@code SimulatedRouter}; {@code InputLine} reads
 * one line.
 */
package clayhook.simulator;
