package clayhook.gather;

import java.util.List;

/**
 * A partial answer that takes rows in any order and joins with others of its kind in any tree. What it holds is taken
 * from an account; where that refuses, the fault is returned and the pool is good for nothing but {@link #drop}.
 */
interface Pool {
    /** Null when it was taken in. */
    Fault add(Row row);

    /** Joins a pool of the same account and layout in, which is empty afterwards. */
    Fault join(Pool other);

    /** The rows of the answer, in no order; null with {@link #fault} set where there is none. */
    List<Row> rows();

    /** Why there are no rows. */
    Fault fault();

    /** Gives back what it holds. */
    void drop();
}
