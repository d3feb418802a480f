package clayhook.scattergather;

import java.util.List;

/** What a gather wants done. None of these may call back into it: what follows from them is told to it afterwards. */
public interface GatherActions {
    /** Send that part its statement; of one asked again, what came for the first time is forgotten. */
    void ask(GatherPart part);

    /** What was sent to that part is not wanted any more. */
    void recall(GatherPart part);

    /** That many more rows may be handed in from there. Until then they wait where they are. */
    void credit(GatherPart part, int rows);

    /** The columns of the answer, once, ahead of all rows; not at all where no part told any. */
    void columns(List<Column> columns);

    /** The next row of the answer, a whole DataRow message. */
    void emit(byte[] row);

    /** The end, once. */
    void finish(GatherResult result);
}
