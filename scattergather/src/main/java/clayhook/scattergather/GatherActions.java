package clayhook.scattergather;

import java.util.List;

/**
 * Actions that a gather requests from its owner. They must not call back into the gather; report the resulting events
 * after the action has returned.
 */
public interface GatherActions {
    /** Sends the statement to the part. If the part is asked again, its previous rows have been discarded. */
    void ask(GatherPart part);

    /** Cancels the statement at the part; its rows are no longer needed. */
    void recall(GatherPart part);

    /**
     * Allows that many additional rows of the part to be passed to {@link Gather#row}. Rows beyond the credit stay
     * unread in the connection.
     */
    void credit(GatherPart part, int rows);

    /** Reports the columns of the answer once, before all rows; not called if no part described its columns. */
    void columns(List<Column> columns);

    /** Emits the next row of the answer, a complete DataRow message. */
    void emit(byte[] row);

    /** Reports the final result, exactly once. */
    void finish(GatherResult result);
}
