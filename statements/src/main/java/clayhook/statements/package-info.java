/**
 * Statements as clients write them: their shape, whether they are proven to change nothing, what they cost, and which
 * command group and group of nodes the operator's rules give them. Pure: no I/O, no clock; one thread an instance.
 */
package clayhook.statements;
