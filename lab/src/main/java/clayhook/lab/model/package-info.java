/**
 * A fleet in virtual time: nodes, their logs and failures, and routers that decide with the real module. Pure: no
 * socket, no clock of the machine, chance from one seed; times are seconds, and positions are commit times in seconds.
 */
package clayhook.lab.model;
