/**
 * A fleet in virtual time: nodes, their replication logs and failures, and routers that run the production routing
 * policy. The virtual-time model uses no socket and no machine clock and draws all random numbers from one seed. Times
 * are in seconds; positions are commit times in seconds.
 */
package clayhook.lab.model;
