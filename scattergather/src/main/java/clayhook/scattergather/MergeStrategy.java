package clayhook.scattergather;

import java.util.List;
import java.util.Map;

/** Strategy that merges the rows of the parts into the answer, either streaming or after buffering all rows. */
interface MergeStrategy {
    /** Adds a valid row of a part, with the layout of its columns. */
    void addRow(PartStream from, Row row, ColumnLayout layout);

    /** Discards the rows of a part that is asked again or has sent invalid data. */
    void discard(PartStream from);

    /** Whether enough is known of the part to start the merge. */
    boolean ready(PartStream part);

    /**
     * Whether the part counts towards a quorum: no fault can occur any more, or only one in rows beyond the read-ahead
     * buffer.
     */
    boolean countsForQuorum(PartStream part);

    /** Starts the merge of the given parts, in their order. */
    void begin(List<PartStream> parts, ColumnLayout layout);

    /** Emits rows as far as input and demand allow; returns whether the answer is complete. */
    boolean emitAvailable(AnswerWriter out);

    /** Maximum number of rows of one part that the answer can currently use. */
    long usefulRows(AnswerWriter out);

    /** The fault that ends the whole gather; null if there is none. */
    GatherFault fault();

    long conflicts();

    Map<String, Double> errors();

    /** Releases all reserved memory. */
    void release();
}
