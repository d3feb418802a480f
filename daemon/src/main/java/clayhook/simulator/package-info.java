/**
 * Connects the routing policy to the simulator: its line protocol on standard input and output, in virtual time. It
 * decides nothing, and uses neither the network nor a clock.
 *
 * <p>Uses the policy and the in-flight requests of the core module, and the settings ({@code clayhook.config}). Start
 * with {@link clayhook.simulator.SimulatorAdapter}, then {@code SimulatedRouter}; {@code InputLine} reads one line.
 */
package clayhook.simulator;
