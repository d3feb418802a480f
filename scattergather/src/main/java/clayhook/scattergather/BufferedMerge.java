package clayhook.scattergather;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All rows are held until the parts have ended: each part in a pool of its own, so that one that fails can be asked
 * anew, or be left out, and joined once it is known to count.
 */
final class BufferedMerge implements MergeStrategy {
    private final MergeSpec merging;
    private final MemoryReservation account;
    private final BufferLimits bounds;
    private ColumnLayout layout;
    /** Emptied when the answer is made, and at the end; bounded by the account. */
    private final Map<PartStream, RowStore> pools = new HashMap<>();
    /** What is to go out; emptied as it goes. */
    private ArrayDeque<Row> answer;

    private RowStore whole;
    private GatherFault fault;
    private long conflicts;
    private Map<String, Double> errors = Map.of();

    BufferedMerge(MergeSpec merging, MemoryReservation account, BufferLimits bounds) {
        this.merging = merging;
        this.account = account;
        this.bounds = bounds;
    }

    private RowStore pool() {
        return merging.duplicates() == null && merging.groups() != null
                ? new AggregateGroups(layout, account, bounds.heldRows())
                : new RowTable(layout, account, bounds.heldRows());
    }

    @Override
    public void take(PartStream from, Row row, ColumnLayout plan) {
        layout = plan;
        fault = pools.computeIfAbsent(from, any -> pool()).add(row);
    }

    @Override
    public void forget(PartStream from) {
        RowStore pool = pools.remove(from);
        if (pool != null) {
            pool.drop();
        }
    }

    @Override
    public boolean ready(PartStream part) {
        return part.over;
    }

    @Override
    public boolean firm(PartStream part) {
        return part.over;
    }

    /**
     * A part of groups would count for less than it is, so a part that was cut is left out of them; of rows each is
     * true.
     */
    @Override
    public void begin(List<PartStream> parts, ColumnLayout plan) {
        layout = plan;
        whole = layout == null ? null : pool();
        for (PartStream part : parts) {
            part.dry = part.shortened;
            if (merging.groups() != null && part.fall != null) {
                forget(part);
            }
            RowStore pool = pools.remove(part);
            part.counted = pool == null ? 0 : part.rows;
            if (pool != null && fault == null) {
                fault = whole.join(pool);
            }
            if (pool != null) {
                pool.drop();
            }
        }
        List.copyOf(pools.keySet()).forEach(this::forget); // spare ones
        answer = new ArrayDeque<>(fault == null && whole != null ? answer() : List.of());
    }

    private List<Row> answer() {
        if (whole instanceof RowTable table) {
            conflicts = table.conflicts();
        }
        List<Row> rows = whole.rows();
        if (merging.groups() != null && merging.duplicates() != null) {
            rows = grouped(rows);
        }
        if (fault == null) {
            fault = whole.fault();
        }
        if (fault != null) {
            return List.of();
        }
        if (whole instanceof AggregateGroups groups) {
            errors = groups.errors();
        }
        rows = new ArrayList<>(rows);
        rows.forEach(layout.order()::mark);
        rows.sort(layout.order());
        return rows;
    }

    /** Groups of what duplicates have left. */
    private List<Row> grouped(List<Row> rows) {
        RowStore table = whole;
        whole = new AggregateGroups(layout, account, bounds.heldRows());
        for (Row row : rows) {
            fault = fault == null ? whole.add(row) : fault;
        }
        table.drop();
        return fault == null ? whole.rows() : List.of();
    }

    @Override
    public boolean pour(AnswerWriter out) {
        while (fault == null && !out.full() && !answer.isEmpty()) {
            if (out.blocked()) {
                return false;
            }
            out.emit(answer.poll().bytes);
        }
        return true;
    }

    @Override
    public long useful(AnswerWriter out) {
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
    public void drop() {
        List.copyOf(pools.keySet()).forEach(this::forget);
        if (whole != null) {
            whole.drop();
        }
        answer = new ArrayDeque<>();
    }
}
