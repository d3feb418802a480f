/**
 * Merges the rows that several parts return for one statement into one answer. The package has no I/O: callers pass in
 * rows and times and carry out the requested actions. It uses no threads, sockets or clocks, and no libraries other
 * than the JDK and hash4j.
 *
 * <p>Start reading at {@link clayhook.scattergather.Gather}, the state machine of one statement.
 * {@link clayhook.scattergather.GatherPlan} holds its settings, and {@link clayhook.scattergather.RowSet} runs it over
 * rows that are already in memory.
 */
package clayhook.scattergather;
