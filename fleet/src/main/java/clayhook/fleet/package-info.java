/**
 * What routers share. Pure: time, chance and addresses are handed in, packets are handed out; no thread, socket or
 * clock of its own. The same code runs in virtual time in the laboratory and in {@code serve}.
 */
package clayhook.fleet;
