package clayhook.scattergather;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Groups of rows with the partial state of their aggregates. */
final class AggregateGroups implements RowStore {
    /** Nominal part of the rows of groups, which belong to no single part. */
    static final GatherPart ANSWER = new GatherPart("answer", 0);
    /** Approximate bytes of a map entry with its group, and of the row that is built from it at the end. */
    private static final int ENTRY_BYTES = 400;

    /** State of one group. */
    private static final class Group {
        /**
         * Key fields of the first row of the group in the order of parts, which decides between different texts of
         * equal keys, such as 1.0 and 1.00.
         */
        byte[][] keyFields;

        GatherPart part;
        long number;
        final Aggregator[] aggregators;

        Group(Aggregator[] aggregators) {
            this.aggregators = aggregators;
        }

        void show(byte[][] fields, GatherPart from, long row) {
            if (part == null || from.number() < part.number() || (from.number() == part.number() && row < number)) {
                keyFields = fields;
                part = from;
                number = row;
            }
        }

        long weight() {
            long weight = ENTRY_BYTES;
            for (Aggregator aggregator : aggregators) {
                weight += aggregator.weight();
            }
            for (byte[] field : keyFields) {
                weight += field == null ? 0 : 3L * field.length;
            }
            return weight;
        }
    }

    private final ColumnLayout layout;
    private final MemoryReservation reservation;
    private final long maxGroups;
    /**
     * Groups by key. Bounded by the maximum number of groups and by the reservation; emptied by {@link #merge} into
     * another store and by {@link #release}.
     */
    private final Map<List<ColumnValue>, Group> byKey = new HashMap<>();

    private final Map<String, Double> errors = new LinkedHashMap<>();
    private GatherFault fault;
    private long heldBytes;

    AggregateGroups(ColumnLayout layout, MemoryReservation reservation, long maxGroups) {
        this.layout = layout;
        this.reservation = reservation;
        this.maxGroups = maxGroups;
    }

    @Override
    public GatherFault add(Row row) {
        var key = new ArrayList<ColumnValue>();
        for (int slot : layout.groupSlots()) {
            key.add(row.cell(slot));
        }
        Group group = byKey.get(key);
        long before = group == null ? 0 : group.weight();
        if (group == null) {
            if (byKey.size() >= maxGroups) {
                return limitFault(row.part, row.number);
            }
            group = new Group(newAggregators());
            byKey.put(List.copyOf(key), group);
        }
        if (group.part == null || row.part.number() < group.part.number()) {
            byte[][] fields = new byte[key.size()][];
            for (int i = 0; i < fields.length; i++) {
                fields[i] = row.raw(layout.groupSlots()[i]);
            }
            group.show(fields, row.part, row.number);
        }
        for (int i = 0; i < group.aggregators.length; i++) {
            group.aggregators[i].add(row, layout.aggregates().get(i));
        }
        return reserve(group.weight() - before) ? null : limitFault(row.part, row.number);
    }

    private Aggregator[] newAggregators() {
        return layout.aggregates().stream().map(AggregateColumn::newAggregator).toArray(Aggregator[]::new);
    }

    private boolean reserve(long bytes) {
        if (bytes < 0) {
            reservation.release(-bytes);
        } else if (!reservation.tryReserve(bytes)) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    private GatherFault limitFault(GatherPart part, long row) {
        return new GatherFault(
                GatherFault.Kind.FULL,
                part,
                row,
                byKey.size() + " groups of " + heldBytes + " bytes are buffered, and the next row exceeds the limit");
    }

    @Override
    public GatherFault merge(RowStore store) {
        var other = (AggregateGroups) store;
        heldBytes += other.heldBytes;
        other.heldBytes = 0;
        for (var entry : other.byKey.entrySet()) {
            Group group = byKey.get(entry.getKey());
            Group more = entry.getValue();
            if (group == null) {
                if (byKey.size() >= maxGroups) {
                    return limitFault(more.part, more.number);
                }
                byKey.put(entry.getKey(), more);
                continue;
            }
            long before = group.weight() + more.weight();
            group.show(more.keyFields, more.part, more.number);
            for (int i = 0; i < group.aggregators.length; i++) {
                group.aggregators[i].merge(more.aggregators[i]);
            }
            if (!reserve(group.weight() - before)) {
                return limitFault(more.part, more.number);
            }
        }
        other.byKey.clear();
        return null;
    }

    /**
     * Numbers the rows in the order of their keys, so that ties in the order of the answer do not depend on the order
     * of input.
     */
    @Override
    public List<Row> rows() {
        if (byKey.isEmpty() && layout.groupSlots().length == 0) {
            Group none = new Group(newAggregators());
            none.keyFields = new byte[0][];
            byKey.put(List.of(), none);
        }
        List<List<ColumnValue>> keys = new ArrayList<>(byKey.keySet());
        keys.sort(AggregateGroups::compare);
        var rows = new ArrayList<Row>(keys.size());
        for (List<ColumnValue> key : keys) {
            Row row = row(byKey.get(key), rows.size() + 1);
            if (row == null) {
                return null;
            }
            rows.add(row);
        }
        return rows;
    }

    private static int compare(List<ColumnValue> a, List<ColumnValue> b) {
        for (int i = 0; i < a.size(); i++) {
            boolean none = a.get(i) == ColumnValue.NULL;
            boolean other = b.get(i) == ColumnValue.NULL;
            int comparison =
                    none || other ? Boolean.compare(none, other) : a.get(i).compareTo(b.get(i));
            if (comparison != 0) {
                return comparison;
            }
        }
        return 0;
    }

    private Row row(Group group, long number) {
        byte[][] fields = Arrays.copyOf(group.keyFields, group.keyFields.length + group.aggregators.length);
        for (int i = 0; i < group.aggregators.length; i++) {
            Aggregator aggregator = group.aggregators[i];
            String name = layout.aggregates().get(i).aggregate().name();
            if (aggregator.fault() != null) {
                fault = new GatherFault(
                        aggregator.fault(),
                        null,
                        -1,
                        name
                                + (aggregator.fault() == GatherFault.Kind.FULL
                                        ? " of more than " + QuantileAggregator.EXACT + " non-numeric values"
                                        : " exceeds the range of its type"));
                return null;
            }
            if (aggregator.error() > 0) {
                errors.merge(name, aggregator.error(), Math::max);
            }
            fields[group.keyFields.length + i] = aggregator.text();
        }
        return layout.answerReader().row(ANSWER, number, Row.message(fields));
    }

    @Override
    public GatherFault fault() {
        return fault;
    }

    /**
     * For each approximate aggregate, by name, the largest error of any group as a fraction of the value; available
     * after {@link #rows}.
     */
    Map<String, Double> errors() {
        return errors;
    }

    @Override
    public void release() {
        byKey.clear();
        reservation.release(heldBytes);
        heldBytes = 0;
    }
}
