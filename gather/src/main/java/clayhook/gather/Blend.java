package clayhook.gather;

import java.util.List;
import java.util.Map;

/** The way rows of parts become the answer: as they come, or held to the end. */
interface Blend {
    /** A row that fits its part's description, for that layout. */
    void take(Stream from, Row row, Layout layout);

    /** What came from there is forgotten: it is asked anew, or cannot be trusted. */
    void forget(Stream from);

    /** Whether enough is known of that part to begin. */
    boolean ready(Stream part);

    /** Whether that part counts for a quorum: no fault of it, or only one in rows that are far off, can come now. */
    boolean firm(Stream part);

    /** The answer is made of these, in the order of parts. */
    void begin(List<Stream> parts, Layout layout);

    /** Moves on as far as rows and room allow; returns whether all is out. */
    boolean pour(Output out);

    /** How many rows of one part can be of use now. */
    long useful(Output out);

    /** What ends the whole gather; null for nothing. */
    Fault fault();

    long conflicts();

    Map<String, Double> errors();

    /** Gives back what it holds. */
    void drop();
}
