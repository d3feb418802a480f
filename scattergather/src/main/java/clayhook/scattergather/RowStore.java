package clayhook.scattergather;

import java.util.List;

/**
 * A partial answer that takes rows in any order and joins with others of its kind in any tree. What it holds is taken
 * from an account; where that refuses, the fault is returned and the pool is good for nothing but {@link #release}.
 */
interface RowStore {
    /** Null when it was taken in. */
    GatherFault add(Row row);

    /** Joins a pool of the same account and layout in, which is empty afterwards. */
    GatherFault merge(RowStore other);

    /** The rows of the answer, in no order; null with {@link #fault} set where there is none. */
    List<Row> rows();

    /** Why there are no rows. */
    GatherFault fault();

    /** Gives back what it holds. */
    void release();
}
