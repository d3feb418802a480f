/**
 * Routers that share state, in virtual time: the production protocol handlers and packets of {@code clayhook.fleet} on
 * a modelled network, with faults drawn from a seed and checks of conditions that must hold under all faults. Times are
 * seconds of the scheduler; each router reads the time from a clock of its own.
 */
package clayhook.lab.sharing;
