/**
 * Routers that share, in virtual time: the real machines and packets of {@code clayhook.fleet} on a modelled network,
 * with faults from a seed and checks of what must hold whatever befalls. Times are seconds of the timeline; each router
 * is told those of a clock of its own.
 */
package clayhook.lab.sharing;
