/**
 * From a client's statement of any kind to a command: which group, which nodes, how long. Decides; no I/O, no clock.
 */
package clayhook.sql;
