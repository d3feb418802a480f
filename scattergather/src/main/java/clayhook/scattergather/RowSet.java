package clayhook.scattergather;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;

/**
 * Rows that are at hand, as one part of an answer.
 *
 * @param messages whole DataRow messages
 */
public record RowSet(List<Column> columns, List<byte[]> messages) {
    /**
     * What one part holds.
     *
     * @param rows null where it is out of reach
     * @param reason how it is out of reach
     * @param position as of the gather, seconds since 1970
     */
    public record PartRows(GatherPart part, RowSet rows, String reason, double position) {}

    /**
     * An answer with its verdict.
     *
     * @param columns empty where no part told any
     */
    public record Answer(List<Column> columns, List<byte[]> rows, GatherResult result) {}

    /**
     * Encodes rows of text values.
     *
     * @param rows values as PostgreSQL writes them, null for none
     */
    public static RowSet table(List<Column> columns, List<List<String>> rows) {
        var messages = new ArrayList<byte[]>(rows.size());
        for (List<String> row : rows) {
            messages.add(message(row));
        }
        return new RowSet(List.copyOf(columns), messages);
    }

    /** One row as a whole DataRow message. */
    public static byte[] message(List<String> values) {
        return Row.message(values.stream()
                .map(value -> value == null ? null : value.getBytes(UTF_8))
                .toArray(byte[][]::new));
    }

    /** The values of a whole DataRow message, null for none. */
    public static List<String> values(byte[] message) {
        var values = new ArrayList<String>();
        for (byte[] field : new Row(null, 0, message, null, new ColumnValue[0]).fields()) {
            values.add(field == null ? null : new String(field, UTF_8));
        }
        return values;
    }

    /** Gathers what is at hand; at once, so that no part is late. */
    public static Answer gather(GatherPlan plan, List<PartRows> parts, MemoryPool memoryPool) {
        var actions = new CollectingActions(parts.size());
        var gather = new Gather(plan, parts.stream().map(PartRows::part).toList(), memoryPool, actions);
        gather.begin(0, Double.POSITIVE_INFINITY);
        gather.request(Integer.MAX_VALUE);
        int[] given = new int[parts.size()];
        for (PartRows held : parts) {
            if (actions.result == null && held.rows == null) {
                gather.failed(held.part, held.reason, false);
            } else if (actions.result == null) {
                gather.described(held.part, held.rows.columns);
            }
        }
        List<PartRows> reached =
                parts.stream().filter(held -> held.rows != null).toList();
        while (actions.result == null) {
            for (PartRows held : reached) {
                int part = held.part.number();
                while (actions.credit[part] > 0 && given[part] < held.rows.messages.size()) {
                    actions.credit[part]--;
                    gather.row(held.part, held.rows.messages.get(given[part]++));
                }
                if (!actions.done[part] && given[part] == held.rows.messages.size()) {
                    actions.end(held.part);
                    gather.ended(held.part, held.position);
                }
            }
        }
        return new Answer(actions.columns, actions.rows, actions.result);
    }

    /** Remembers what the gather wants. */
    private static final class CollectingActions implements GatherActions {
        final long[] credit;
        /** Nothing more is to be fed from there. */
        final boolean[] done;

        List<Column> columns = List.of();
        /** The answer; bounded by what the parts hold. */
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
