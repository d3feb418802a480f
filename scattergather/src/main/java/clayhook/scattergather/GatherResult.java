package clayhook.scattergather;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Final result of a gather: how complete and how fresh the answer is.
 *
 * @param usable whether the answer may be given to the client: it is complete, or the plan accepts whatever is
 *     available
 * @param position position of the oldest part that contributed to the answer, seconds since 1970; negative infinity if
 *     such a part reported none, positive infinity if no part contributed
 * @param notes one note for each part, in the order of the parts
 * @param fault fault that ended the whole gather; null if there was none
 * @param conflicts number of keys whose copies contradict each other
 * @param errors for each approximate aggregate, by name, its standard or maximum error as a fraction of the value
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
    /** Completeness of the answer. */
    public enum Outcome {
        COMPLETE,
        PARTIAL,
        FAILED
    }

    /** Contribution of one part to the answer. */
    public enum PartStatus {
        /** All rows that the answer needs are included, read at a position that is fresh enough. */
        WHOLE,
        /**
         * The part was recalled because the other parts suffice or because the completion policy can no longer be met.
         */
        SPARE,
        /** The part failed, and none of its rows are included. */
        MISSING,
        /** The part exceeded its time, and none of its rows are included. */
        LATE,
        /** Some rows that the answer needs are not included. */
        CUT,
        /** The rows are included but were read at a position older than the bound. */
        OLD
    }

    /** Status of one part, with the reason for any status other than WHOLE. */
    public record PartNote(GatherPart part, PartStatus status, String reason, GatherFault fault, double position) {
        @Override
        public String toString() {
            return part + " " + status.name().toLowerCase(Locale.ROOT) + (reason.isEmpty() ? "" : " (" + reason + ")");
        }
    }

    /**
     * Where and why the answer was truncated.
     *
     * @param exact whether the emitted rows are the first rows of the whole answer, independent of further rows that
     *     the parts may have. For groups and for buffered rows it is only true if no part has more rows.
     * @param partsWithMore parts whose requested depth was too small to decide whether the answer is exact
     */
    public record Truncation(Where where, boolean exact, List<GatherPart> partsWithMore) {
        /** Limit that truncated the answer. */
        public enum Where {
            NONE,
            ROWS,
            BYTES,
            DEADLINE
        }
    }

    /** The parts with the given status. */
    public List<GatherPart> parts(PartStatus status) {
        return notes.stream()
                .filter(note -> note.status == status)
                .map(PartNote::part)
                .toList();
    }

    /** One human-readable line: the outcome and the problem of each part. */
    @Override
    public String toString() {
        String parts = notes.stream()
                .filter(note -> note.status != PartStatus.WHOLE && note.status != PartStatus.SPARE)
                .map(PartNote::toString)
                .collect(Collectors.joining(", "));
        return outcome.name().toLowerCase(Locale.ROOT)
                + (fault == null ? "" : ": " + fault)
                + (parts.isEmpty() ? "" : ": " + parts)
                + (truncation.partsWithMore.isEmpty() ? "" : "; may have more rows: " + truncation.partsWithMore);
    }
}
