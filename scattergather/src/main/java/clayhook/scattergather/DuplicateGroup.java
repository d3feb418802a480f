package clayhook.scattergather;

import java.util.Arrays;

/** Rows with one key, as far as they are needed: joined in any order they come to the same. */
final class DuplicateGroup {
    private final DuplicateRanking ranks;
    private Row best;
    /** By column, the best copy that has a value there; null where no union is asked for. */
    private final Row[] fills;

    private boolean conflict;

    DuplicateGroup(DuplicateRanking ranks, Row row) {
        this.ranks = ranks;
        best = row;
        if (ranks != null && ranks.union()) {
            byte[][] fields = row.fields();
            fills = new Row[fields.length];
            Arrays.setAll(fills, i -> fields[i] == null ? null : row);
        } else {
            fills = null;
        }
    }

    void join(DuplicateGroup other) {
        boolean differ = ranks.differ(best, other.best);
        conflict = ranks.outranks(best, other.best)
                ? conflict
                : ranks.outranks(other.best, best) ? other.conflict : conflict || other.conflict || differ;
        best = better(best, other.best);
        for (int i = 0; fills != null && i < fills.length; i++) {
            fills[i] = better(fills[i], other.fills[i]);
        }
    }

    private Row better(Row a, Row b) {
        return a == null || (b != null && ranks.compare(b, a) < 0) ? b : a;
    }

    Row best() {
        return best;
    }

    boolean conflict() {
        return conflict;
    }

    /** Bytes of memory, about: of all rows that are needed for the one. */
    long weight() {
        long weight = best.weight();
        for (int i = 0; fills != null && i < fills.length; i++) {
            Row row = fills[i];
            weight += row == null
                            || row == best
                            || Arrays.asList(fills).subList(0, i).contains(row)
                    ? 0
                    : row.weight();
        }
        return weight;
    }

    /** The one row that stands for all: the best as it came, unless columns of others or a conflict show in it. */
    Row row(ColumnReader reading) {
        boolean filled = false;
        for (int i = 0; fills != null && i < fills.length; i++) {
            filled |= fills[i] != null && fills[i] != best && best.field(i) == null;
        }
        if (!filled && !conflict) {
            return best;
        }
        byte[][] fields = best.fields();
        for (int i = 0; filled && i < fields.length; i++) {
            fields[i] = fills[i] == null ? null : fills[i].field(i);
        }
        if (conflict) {
            fields[reading.column(ranks.conflictSlot())] = ranks.conflict();
        }
        return reading.row(best.part, best.number, Row.message(fields));
    }
}
