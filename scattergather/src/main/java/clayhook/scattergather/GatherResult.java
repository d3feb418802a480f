package clayhook.scattergather;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What an answer is worth.
 *
 * @param usable whether it may be given out: complete, or the plan takes whatever is there
 * @param position of the oldest part that the answer rests on, seconds since 1970; negative infinity where one told
 *     none, positive infinity where it rests on none
 * @param notes on each part, in their order
 * @param fault what ended the whole gather; null for none
 * @param conflicts keys of which copies contradict each other
 * @param errors by figure that is not exact, its standard or greatest error as a share of the value
 */
public record GatherResult(
        Outcome outcome,
        boolean usable,
        double position,
        List<PartNote> notes,
        Truncation truncation,
        long rows,
        GatherFault fault,
        long conflicts,
        Map<String, Double> errors) {
    /** Kinds of answers. */
    public enum Outcome {
        COMPLETE,
        PARTIAL,
        FAILED
    }

    /** What became of a part. */
    public enum PartStatus {
        /** All that the answer needs of it is in, read at a position that is fresh enough. */
        WHOLE,
        /** It was recalled, as others are enough or nothing can be enough any more. */
        SPARE,
        /** It failed, and none of it is in. */
        MISSING,
        /** It took too long, and none of it is in. */
        LATE,
        /** Not all that the answer needs of it is in. */
        CUT,
        /** It is in, and older than the bound. */
        OLD
    }

    /** On one part. */
    public record PartNote(GatherPart part, PartStatus status, String reason, GatherFault fault, double position) {
        @Override
        public String toString() {
            return part + " " + status.name().toLowerCase(Locale.ROOT) + (reason.isEmpty() ? "" : " (" + reason + ")");
        }
    }

    /**
     * Where the answer ends.
     *
     * @param exact whether the rows given are the first of the whole answer, whatever the parts may hold besides; of
     *     groups and of rows held whole it is only claimed when no part has more
     * @param partsWithMore parts that were asked for too few rows to know
     */
    public record Truncation(Where where, boolean exact, List<GatherPart> partsWithMore) {
        /** Kinds of ends. */
        public enum Where {
            NONE,
            ROWS,
            BYTES,
            DEADLINE
        }
    }

    /** The parts with that standing. */
    public List<GatherPart> parts(PartStatus status) {
        return notes.stream()
                .filter(note -> note.status == status)
                .map(PartNote::part)
                .toList();
    }

    /** One line for people: what is wrong with which part. */
    @Override
    public String toString() {
        String parts = notes.stream()
                .filter(note -> note.status != PartStatus.WHOLE && note.status != PartStatus.SPARE)
                .map(PartNote::toString)
                .collect(Collectors.joining(", "));
        return outcome.name().toLowerCase(Locale.ROOT)
                + (fault == null ? "" : ": " + fault)
                + (parts.isEmpty() ? "" : ": " + parts)
                + (truncation.partsWithMore.isEmpty() ? "" : "; ask deeper: " + truncation.partsWithMore);
    }
}
