package clayhook.scattergather;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Sorted parts become a sorted answer; only what is read ahead is held, and the copies of the row that is next. */
final class SortedMerge implements MergeStrategy {
    private final MemoryReservation account;
    private final BufferLimits bounds;
    /** Hears of each part of which a row went on. */
    private final Consumer<PartStream> taken;

    private List<PartStream> parts = List.of();
    private ColumnLayout layout;
    private LoserTree tournament;
    /** The slot whose next row is not there yet; -1 for none. */
    private int unknown = -1;
    /** The row that goes out when one with another key is next; null for none. */
    private DuplicateGroup next;

    private long held;
    private long conflicts;
    private final boolean copies;
    private GatherFault fault;

    SortedMerge(MergeSpec merging, MemoryReservation account, BufferLimits bounds, Consumer<PartStream> taken) {
        this.account = account;
        this.bounds = bounds;
        this.taken = taken;
        copies = merging.duplicates() != null;
    }

    @Override
    public void take(PartStream from, Row row, ColumnLayout plan) {
        from.put(row);
    }

    @Override
    public void forget(PartStream from) {
        from.clear();
        int slot = parts.indexOf(from);
        if (slot >= 0 && slot != unknown) {
            dry(from);
            tournament.put(slot, null);
        }
    }

    @Override
    public boolean ready(PartStream part) {
        return part.over || !part.buffer.isEmpty();
    }

    @Override
    public boolean firm(PartStream part) {
        return part.over || (part.owed == 0 && !part.buffer.isEmpty());
    }

    @Override
    public void begin(List<PartStream> streams, ColumnLayout plan) {
        parts = streams;
        layout = plan;
        Row[] heads = new Row[parts.size()];
        for (int i = 0; i < heads.length; i++) {
            heads[i] = parts.get(i).buffer.peek();
            if (heads[i] == null) {
                dry(parts.get(i));
            }
        }
        tournament = heads.length == 0 ? null : new LoserTree(layout.order(), heads);
    }

    private static void dry(PartStream part) {
        part.dry = part.over && part.shortened;
    }

    @Override
    public boolean pour(AnswerWriter out) {
        while (tournament != null && fault == null && !out.full()) {
            if (unknown >= 0 && !know()) {
                return false;
            }
            Row least = tournament.least();
            if (out.blocked() && (least != null || next != null)) {
                return false;
            }
            if (!copies) {
                if (least == null) {
                    return true;
                }
                next();
                out.emit(least.bytes);
            } else if (next != null && (least == null || !layout.ranks().same(next.best(), least))) {
                give(out);
            } else if (least == null) {
                return true;
            } else {
                next();
                hold(least);
            }
        }
        return true;
    }

    /** Whether the part whose row went out last has shown its next one, or its end. */
    private boolean know() {
        PartStream part = parts.get(unknown);
        Row head = part.buffer.peek();
        if (head == null) {
            if (!part.over) {
                return false;
            }
            dry(part);
        }
        tournament.put(unknown, head);
        unknown = -1;
        return true;
    }

    private void next() {
        unknown = tournament.winner();
        PartStream part = parts.get(unknown);
        part.poll();
        taken.accept(part);
    }

    private void hold(Row row) {
        var copy = new DuplicateGroup(layout.ranks(), row);
        long before = next == null ? 0 : next.weight();
        if (next == null) {
            next = copy;
        } else {
            next.join(copy);
        }
        long more = next.weight() - before;
        if (more < 0) {
            account.give(-more);
        } else if (!account.take(more)) {
            fault = new GatherFault(
                    GatherFault.Kind.FULL, row.part, row.number, "the copies of one row are beyond the memory for it");
            return;
        }
        held += more;
    }

    private void give(AnswerWriter out) {
        conflicts += next.conflict() ? 1 : 0;
        out.emit(next.row(layout.reading()).bytes);
        next = null;
        account.give(held);
        held = 0;
    }

    /**
     * Without duplicates the answer needs no more of a part than what it lacks itself; it begins with a row of each,
     * though.
     */
    @Override
    public long useful(AnswerWriter out) {
        return copies ? bounds.bufferRows() : Math.max(1, out.left());
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
        return Map.of();
    }

    @Override
    public void drop() {
        next = null;
        account.give(held);
        held = 0;
    }
}
