/**
 * Classification of the SQL statements of clients: their shape, whether they are proven to change nothing, their
 * expected cost, and the request class and replica set that the operator's rules assign to them. The classes do no I/O
 * at run time, read no clock, and are not thread-safe.
 */
package clayhook.statements;
