package clayhook.scattergather;

import java.util.List;
import java.util.Map;

/** The way rows of parts become the answer: as they come, or held to the end. */
interface MergeStrategy {
    /** A row that fits its part's description, for that layout. */
    void addRow(PartStream from, Row row, ColumnLayout layout);

    /** What came from there is forgotten: it is asked anew, or cannot be trusted. */
    void discard(PartStream from);

    /** Whether enough is known of that part to begin. */
    boolean ready(PartStream part);

    /** Whether that part counts for a quorum: no fault of it, or only one in rows that are far off, can come now. */
    boolean countsForQuorum(PartStream part);

    /** The answer is made of these, in the order of parts. */
    void begin(List<PartStream> parts, ColumnLayout layout);

    /** Moves on as far as rows and room allow; returns whether all is out. */
    boolean emitAvailable(AnswerWriter out);

    /** How many rows of one part can be of use now. */
    long usefulRows(AnswerWriter out);

    /** What ends the whole gather; null for nothing. */
    GatherFault fault();

    long conflicts();

    Map<String, Double> errors();

    /** Gives back what it holds. */
    void release();
}
