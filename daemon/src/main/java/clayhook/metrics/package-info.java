/**
 * Counters of one router, which its summary log shows.
 *
 * <p>{@link clayhook.metrics.EventCounters} is created with the router and handed to whoever counts. The package uses
 * nothing of the project and may be used by every other package.
 */
package clayhook.metrics;
