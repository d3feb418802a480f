package clayhook.scattergather;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;

/**
 * Rows in memory that serve as one part of an answer.
 *
 * @param messages complete DataRow messages
 */
public record RowSet(List<Column> columns, List<byte[]> messages) {
    /**
     * Rows of one part.
     *
     * @param rows rows of the part; null if it is unreachable
     * @param reason why the part is unreachable
     * @param position applied position of the rows, seconds since 1970
     */
    public record PartRows(GatherPart part, RowSet rows, String reason, double position) {}

    /**
     * An answer with its result.
     *
     * @param columns columns of the answer; empty if no part described its columns
     */
    public record Answer(List<Column> columns, List<byte[]> rows, GatherResult result) {}

    /**
     * Encodes rows of text values.
     *
     * @param rows values in PostgreSQL's text format; null is SQL NULL
     */
    public static RowSet table(List<Column> columns, List<List<String>> rows) {
        var messages = new ArrayList<byte[]>(rows.size());
        for (List<String> row : rows) {
            messages.add(message(row));
        }
        return new RowSet(List.copyOf(columns), messages);
    }

    /** Encodes one row as a complete DataRow message; null is SQL NULL. */
    public static byte[] message(List<String> values) {
        return Row.message(values.stream()
                .map(value -> value == null ? null : value.getBytes(UTF_8))
                .toArray(byte[][]::new));
    }

    /** Decodes the values of a complete DataRow message; null is SQL NULL. */
    public static List<String> values(byte[] message) {
        var values = new ArrayList<String>();
        for (byte[] field : new Row(null, 0, message, null, new ColumnValue[0]).fields()) {
            values.add(field == null ? null : new String(field, UTF_8));
        }
        return values;
    }

    /** Gathers rows that are in memory. All parts are processed at time 0, so none is late. */
    public static Answer gather(GatherPlan plan, List<PartRows> parts, MemoryPool memoryPool) {
        var actions = new CollectingActions(parts.size());
        var gather = new Gather(plan, parts.stream().map(PartRows::part).toList(), memoryPool, actions);
        gather.begin(0, Double.POSITIVE_INFINITY);
        gather.request(Integer.MAX_VALUE);
        int[] nextRow = new int[parts.size()];
        for (PartRows partRows : parts) {
            if (actions.result == null && partRows.rows == null) {
                gather.failed(partRows.part, partRows.reason, false);
            } else if (actions.result == null) {
                gather.described(partRows.part, partRows.rows.columns);
            }
        }
        List<PartRows> reachable =
                parts.stream().filter(partRows -> partRows.rows != null).toList();
        while (actions.result == null) {
            for (PartRows partRows : reachable) {
                int part = partRows.part.number();
                while (actions.credit[part] > 0 && nextRow[part] < partRows.rows.messages.size()) {
                    actions.credit[part]--;
                    gather.row(partRows.part, partRows.rows.messages.get(nextRow[part]++));
                }
                if (!actions.done[part] && nextRow[part] == partRows.rows.messages.size()) {
                    actions.end(partRows.part);
                    gather.ended(partRows.part, partRows.position);
                }
            }
        }
        return new Answer(actions.columns, actions.rows, actions.result);
    }

    /** Records the requested credit and collects the answer. */
    private static final class CollectingActions implements GatherActions {
        final long[] credit;
        /** By part, whether no more rows are to be passed to the gather. */
        final boolean[] done;

        List<Column> columns = List.of();
        /** Rows of the answer, bounded by the rows of the parts. */
        final List<byte[]> rows = new ArrayList<>();

        GatherResult result;

        CollectingActions(int parts) {
            credit = new long[parts];
            done = new boolean[parts];
        }

        void end(GatherPart part) {
            done[part.number()] = true;
            credit[part.number()] = 0;
        }

        @Override
        public void ask(GatherPart part) {}

        @Override
        public void recall(GatherPart part) {
            end(part);
        }

        @Override
        public void credit(GatherPart part, int more) {
            credit[part.number()] += more;
        }

        @Override
        public void columns(List<Column> shown) {
            columns = shown;
        }

        @Override
        public void emit(byte[] row) {
            rows.add(row);
        }

        @Override
        public void finish(GatherResult end) {
            result = end;
        }
    }
}
