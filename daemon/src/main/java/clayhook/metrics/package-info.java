/**
 * Event counters of one router, which its summary log lines contain.
 *
 * <p>{@link clayhook.metrics.EventCounters} is created with the router and passed to the components that count events.
 * The package depends on no other package of the project, and every package may use it.
 */
package clayhook.metrics;
