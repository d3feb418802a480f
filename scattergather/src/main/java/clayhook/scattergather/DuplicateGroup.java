package clayhook.scattergather;

import java.util.Arrays;

/** The rows with one key that are needed for the result. The result does not depend on the order of merges. */
final class DuplicateGroup {
    private final DuplicateRanking ranking;
    private Row best;
    /** By column, the best copy that has a value; null if columns are not filled. */
    private final Row[] bestByColumn;

    private boolean conflict;

    DuplicateGroup(DuplicateRanking ranking, Row row) {
        this.ranking = ranking;
        best = row;
        if (ranking != null && ranking.fillNulls()) {
            byte[][] fields = row.fields();
            bestByColumn = new Row[fields.length];
            Arrays.setAll(bestByColumn, i -> fields[i] == null ? null : row);
        } else {
            bestByColumn = null;
        }
    }

    void merge(DuplicateGroup other) {
        boolean isConflict = ranking.isConflict(best, other.best);
        conflict = ranking.outranks(best, other.best)
                ? conflict
                : ranking.outranks(other.best, best) ? other.conflict : conflict || other.conflict || isConflict;
        best = better(best, other.best);
        for (int i = 0; bestByColumn != null && i < bestByColumn.length; i++) {
            bestByColumn[i] = better(bestByColumn[i], other.bestByColumn[i]);
        }
    }

    private Row better(Row a, Row b) {
        return a == null || (b != null && ranking.compare(b, a) < 0) ? b : a;
    }

    Row best() {
        return best;
    }

    boolean conflict() {
        return conflict;
    }

    /** Approximate bytes of memory of all rows that are needed for the result. */
    long weight() {
        long weight = best.weight();
        for (int i = 0; bestByColumn != null && i < bestByColumn.length; i++) {
            Row row = bestByColumn[i];
            weight += row == null
                            || row == best
                            || Arrays.asList(bestByColumn).subList(0, i).contains(row)
                    ? 0
                    : row.weight();
        }
        return weight;
    }

    /**
     * The resulting row: the best copy as received, unless columns are filled from other copies or a conflict is shown.
     */
    Row row(ColumnReader reader) {
        boolean filled = false;
        for (int i = 0; bestByColumn != null && i < bestByColumn.length; i++) {
            filled |= bestByColumn[i] != null && bestByColumn[i] != best && best.field(i) == null;
        }
        if (!filled && !conflict) {
            return best;
        }
        byte[][] fields = best.fields();
        for (int i = 0; filled && i < fields.length; i++) {
            fields[i] = bestByColumn[i] == null ? null : bestByColumn[i].field(i);
        }
        if (conflict) {
            fields[reader.column(ranking.conflictSlot())] = ranking.conflict();
        }
        return reader.row(best.part, best.number, Row.message(fields));
    }
}
