/**
 * Answers gathered from many parts. Pure: rows and times are handed in, rows and errands are handed out; no thread,
 * socket or clock of its own. {@link clayhook.scattergather.Gather} is the machine, {@link clayhook.scattergather.Plan}
 * says what it is to do, {@link clayhook.scattergather.Rows} runs it over rows that are at hand already.
 */
package clayhook.scattergather;
