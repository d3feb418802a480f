package clayhook.scattergather;

import java.util.List;

/**
 * A partial answer that accepts rows in any order and can be merged with others of its kind in any order. Its memory is
 * taken from a reservation. If the reservation refuses, the method returns a fault, and then only {@link #release} may
 * be called.
 */
interface RowStore {
    /** Adds a row; returns null on success. */
    GatherFault add(Row row);

    /**
     * Merges another store with the same reservation and layout into this one and leaves the other empty; returns null
     * on success.
     */
    GatherFault merge(RowStore other);

    /**
     * The rows of the answer in no particular order; null, with {@link #fault} set, if there are none because of a
     * fault.
     */
    List<Row> rows();

    /** Why {@link #rows} returned null. */
    GatherFault fault();

    /** Releases the reserved memory and all rows. */
    void release();
}
