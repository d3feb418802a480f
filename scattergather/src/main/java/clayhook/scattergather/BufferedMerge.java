package clayhook.scattergather;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Merge that buffers all rows until the parts have ended. Each part has a store of its own, so that a failed part can
 * be asked again or left out; the stores are merged once the contributing parts are known.
 */
final class BufferedMerge implements MergeStrategy {
    private final MergeSpec spec;
    private final MemoryReservation reservation;
    private final BufferLimits bufferLimits;
    private ColumnLayout layout;
    /** Stores by part. Bounded by the memory reservation; emptied when the answer is built and when the gather ends. */
    private final Map<PartStream, RowStore> stores = new HashMap<>();
    /** Rows to emit, in the order of the answer. */
    private ArrayDeque<Row> answer;

    private RowStore merged;
    private GatherFault fault;
    private long conflicts;
    private Map<String, Double> errors = Map.of();

    BufferedMerge(MergeSpec spec, MemoryReservation reservation, BufferLimits bufferLimits) {
        this.spec = spec;
        this.reservation = reservation;
        this.bufferLimits = bufferLimits;
    }

    private RowStore newStore() {
        return spec.duplicates() == null && spec.groups() != null
                ? new AggregateGroups(layout, reservation, bufferLimits.maxHeldRows())
                : new RowTable(layout, reservation, bufferLimits.maxHeldRows());
    }

    @Override
    public void addRow(PartStream from, Row row, ColumnLayout plan) {
        layout = plan;
        fault = stores.computeIfAbsent(from, any -> newStore()).add(row);
    }

    @Override
    public void discard(PartStream from) {
        RowStore store = stores.remove(from);
        if (store != null) {
            store.release();
        }
    }

    @Override
    public boolean ready(PartStream part) {
        return part.ended;
    }

    @Override
    public boolean countsForQuorum(PartStream part) {
        return part.ended;
    }

    /**
     * Merges the stores of the contributing parts. A part that failed is left out of groups because its aggregates
     * would be too small; without groups, its rows are correct and are kept.
     */
    @Override
    public void begin(List<PartStream> parts, ColumnLayout plan) {
        layout = plan;
        merged = layout == null ? null : newStore();
        for (PartStream part : parts) {
            part.missingRows = part.truncated;
            if (spec.groups() != null && part.failure != null) {
                discard(part);
            }
            RowStore store = stores.remove(part);
            part.usedRows = store == null ? 0 : part.rows;
            if (store != null && fault == null) {
                fault = merged.merge(store);
            }
            if (store != null) {
                store.release();
            }
        }
        List.copyOf(stores.keySet()).forEach(this::discard); // parts that are not needed
        answer = new ArrayDeque<>(fault == null && merged != null ? answer() : List.of());
    }

    private List<Row> answer() {
        if (merged instanceof RowTable table) {
            conflicts = table.conflicts();
        }
        List<Row> rows = merged.rows();
        if (spec.groups() != null && spec.duplicates() != null) {
            rows = grouped(rows);
        }
        if (fault == null) {
            fault = merged.fault();
        }
        if (fault != null) {
            return List.of();
        }
        if (merged instanceof AggregateGroups groups) {
            errors = groups.errors();
        }
        rows = new ArrayList<>(rows);
        rows.forEach(layout.order()::setSortPrefix);
        rows.sort(layout.order());
        return rows;
    }

    /** Groups the rows that remain after the removal of duplicates. */
    private List<Row> grouped(List<Row> rows) {
        RowStore table = merged;
        merged = new AggregateGroups(layout, reservation, bufferLimits.maxHeldRows());
        for (Row row : rows) {
            fault = fault == null ? merged.add(row) : fault;
        }
        table.release();
        return fault == null ? merged.rows() : List.of();
    }

    @Override
    public boolean emitAvailable(AnswerWriter out) {
        while (fault == null && !out.isFull() && !answer.isEmpty()) {
            if (out.isBlocked()) {
                return false;
            }
            out.emit(answer.poll().bytes);
        }
        return true;
    }

    @Override
    public long usefulRows(AnswerWriter out) {
        return Long.MAX_VALUE;
    }

    @Override
    public GatherFault fault() {
        return fault;
    }

    @Override
    public long conflicts() {
        return conflicts;
    }

    @Override
    public Map<String, Double> errors() {
        return errors;
    }

    @Override
    public void release() {
        List.copyOf(stores.keySet()).forEach(this::discard);
        if (merged != null) {
            merged.release();
        }
        answer = new ArrayDeque<>();
    }
}
