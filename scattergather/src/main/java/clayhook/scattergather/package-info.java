/**
 * Merges the rows that several parts return for one query into one answer. Pure: rows and times are handed in, actions
 * are handed out; no threads, sockets or clock. It uses the JDK only.
 *
 * <p>Start reading at {@link clayhook.scattergather.Gather}, the state machine of one query;
 * {@link clayhook.scattergather.GatherPlan} says what it has to do, and {@link clayhook.scattergather.RowSet} runs it
 * over rows that are in memory already.
 */
package clayhook.scattergather;
