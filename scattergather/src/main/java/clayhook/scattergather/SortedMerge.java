package clayhook.scattergather;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Streaming merge of sorted parts into a sorted answer. Memory holds only the read-ahead buffers and the duplicates of
 * the next row.
 */
final class SortedMerge implements MergeStrategy {
    private final MemoryReservation reservation;
    private final BufferLimits bufferLimits;
    /** Called with each part from which a row has been taken. */
    private final Consumer<PartStream> onRowTaken;

    private List<PartStream> parts = List.of();
    private ColumnLayout layout;
    private LoserTree tree;
    /** Slot of the tree whose next row has not been received yet; -1 if there is none. */
    private int awaitedSlot = -1;
    /** Duplicates of the next row to emit; emitted when a row with another key follows. Null if there are none. */
    private DuplicateGroup pending;

    private long heldBytes;
    private long conflicts;
    private final boolean hasDuplicates;
    private GatherFault fault;

    SortedMerge(
            MergeSpec spec, MemoryReservation reservation, BufferLimits bufferLimits, Consumer<PartStream> onRowTaken) {
        this.reservation = reservation;
        this.bufferLimits = bufferLimits;
        this.onRowTaken = onRowTaken;
        hasDuplicates = spec.duplicates() != null;
    }

    @Override
    public void addRow(PartStream from, Row row, ColumnLayout plan) {
        from.put(row);
    }

    @Override
    public void discard(PartStream from) {
        from.clear();
        int slot = parts.indexOf(from);
        if (slot >= 0 && slot != awaitedSlot) {
            updateMissingRows(from);
            tree.put(slot, null);
        }
    }

    @Override
    public boolean ready(PartStream part) {
        return part.ended || !part.buffer.isEmpty();
    }

    @Override
    public boolean countsForQuorum(PartStream part) {
        return part.ended || (part.credit == 0 && !part.buffer.isEmpty());
    }

    @Override
    public void begin(List<PartStream> streams, ColumnLayout plan) {
        parts = streams;
        layout = plan;
        Row[] heads = new Row[parts.size()];
        for (int i = 0; i < heads.length; i++) {
            heads[i] = parts.get(i).buffer.peek();
            if (heads[i] == null) {
                updateMissingRows(parts.get(i));
            }
        }
        tree = heads.length == 0 ? null : new LoserTree(layout.order(), heads);
    }

    private static void updateMissingRows(PartStream part) {
        part.missingRows = part.ended && part.truncated;
    }

    @Override
    public boolean emitAvailable(AnswerWriter out) {
        while (tree != null && fault == null && !out.isFull()) {
            if (awaitedSlot >= 0 && !resolveAwaitedSlot()) {
                return false;
            }
            Row least = tree.least();
            if (out.isBlocked() && (least != null || pending != null)) {
                return false;
            }
            if (!hasDuplicates) {
                if (least == null) {
                    return true;
                }
                takeWinner();
                out.emit(least.bytes);
            } else if (pending != null && (least == null || !layout.ranking().sameKey(pending.best(), least))) {
                emitPending(out);
            } else if (least == null) {
                return true;
            } else {
                takeWinner();
                addToPending(least);
            }
        }
        return true;
    }

    /**
     * Updates the slot of the part from which the last row was taken. Returns false if neither its next row nor its end
     * is known yet.
     */
    private boolean resolveAwaitedSlot() {
        PartStream part = parts.get(awaitedSlot);
        Row head = part.buffer.peek();
        if (head == null) {
            if (!part.ended) {
                return false;
            }
            updateMissingRows(part);
        }
        tree.put(awaitedSlot, head);
        awaitedSlot = -1;
        return true;
    }

    private void takeWinner() {
        awaitedSlot = tree.winner();
        PartStream part = parts.get(awaitedSlot);
        part.poll();
        onRowTaken.accept(part);
    }

    private void addToPending(Row row) {
        var copy = new DuplicateGroup(layout.ranking(), row);
        long before = pending == null ? 0 : pending.weight();
        if (pending == null) {
            pending = copy;
        } else {
            pending.merge(copy);
        }
        long more = pending.weight() - before;
        if (more < 0) {
            reservation.release(-more);
        } else if (!reservation.tryReserve(more)) {
            fault = new GatherFault(
                    GatherFault.Kind.FULL, row.part, row.number, "the duplicates of one row exceed the memory limit");
            return;
        }
        heldBytes += more;
    }

    private void emitPending(AnswerWriter out) {
        conflicts += pending.conflict() ? 1 : 0;
        out.emit(pending.row(layout.reader()).bytes);
        pending = null;
        reservation.release(heldBytes);
        heldBytes = 0;
    }

    /**
     * Without duplicates, no part contributes more rows than the answer still lacks. At least one row is needed of each
     * part to start the merge.
     */
    @Override
    public long usefulRows(AnswerWriter out) {
        return hasDuplicates ? bufferLimits.bufferRows() : Math.max(1, out.remaining());
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
    public void release() {
        pending = null;
        reservation.release(heldBytes);
        heldBytes = 0;
    }
}
