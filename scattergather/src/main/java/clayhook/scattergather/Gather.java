package clayhook.scattergather;

import clayhook.scattergather.GatherResult.Outcome;
import clayhook.scattergather.GatherResult.PartNote;
import clayhook.scattergather.GatherResult.PartStatus;
import clayhook.scattergather.GatherResult.Truncation;
import java.util.ArrayList;
import java.util.List;

/**
 * State machine that merges the rows of several parts into one answer. The caller reports events of the parts and the
 * time; the gather calls {@link GatherActions}. It never retries a part by itself. It gives exactly one final result,
 * for any order of events, and no later than at the first {@link #tick} at or after the deadline. Events of a part
 * after its end, after its recall or after the final result are ignored and counted.
 *
 * <p>Confined to one thread. An event takes effect at the time of the last tick. When several events are ready at once,
 * report the events before the time; otherwise a stall of the router would count as lateness of the parts. After a part
 * has been asked again, the caller must not report events that belong to the previous attempt.
 */
public final class Gather {
    private final GatherPlan plan;
    private final MergeSpec spec;
    private final List<PartStream> streams;
    private final MemoryReservation reservation;
    private final GatherActions actions;
    private final MergeStrategy strategy;
    private final AnswerWriter out;
    /** Upper bound of the memory of one row, in bytes. */
    private final long maxRowWeight;

    private final long readAheadBytes;
    private ColumnLayout layout;
    private double now;
    private double deadline;
    private boolean started;
    /** Whether the merge has started. From then on rows may be emitted and no part is asked again. */
    private boolean mergeStarted;

    private boolean finished;
    /** Whether a call is being processed; detects an action that calls back into the gather. */
    private boolean inCall;

    private long ignoredEvents;
    /**
     * Number of streams with each property, kept up to date by {@link #updateCounts}, which costs less than a scan of
     * all streams for each row.
     */
    private int readyParts;

    private int quorumParts;
    private int lostParts;
    private int spareParts;

    /** @param parts in the order of their numbers, which start at 0 */
    public Gather(GatherPlan plan, List<GatherPart> parts, MemoryPool memoryPool, GatherActions actions) {
        this.plan = plan;
        this.actions = actions;
        spec = plan.spec();
        streams = parts.stream().map(PartStream::new).toList();
        for (int i = 0; i < parts.size(); i++) {
            if (parts.get(i).number() != i) {
                throw new IllegalArgumentException(
                        "part " + parts.get(i) + " has number " + parts.get(i).number() + " in place " + i);
            }
        }
        BufferLimits bufferLimits = plan.bufferLimits();
        int cells = spec.order().size()
                + (spec.duplicates() == null
                        ? 0
                        : spec.duplicates().key().size()
                                + spec.duplicates().rules().size());
        maxRowWeight = Row.weight(bufferLimits.maxRowBytes(), cells);
        readAheadBytes = Math.max(
                maxRowWeight,
                Math.min(
                        bufferLimits.bufferBytes() / Math.max(1, parts.size()),
                        bufferLimits.bufferRows() * maxRowWeight));
        reservation = new MemoryReservation(memoryPool, initialReservation() + bufferLimits.maxHeldBytes());
        strategy = spec.isStreaming()
                ? new SortedMerge(spec, reservation, bufferLimits, this::updateStream)
                : new BufferedMerge(spec, reservation, bufferLimits);
        out = new AnswerWriter(actions, spec.limit());
    }

    /**
     * Bytes reserved at the start: the read-ahead buffers and, for each part, its previous row, which is needed to
     * check the order.
     */
    private long initialReservation() {
        return spec.isStreaming() ? streams.size() * (readAheadBytes + maxRowWeight) : 0;
    }

    /**
     * Sends the statement to all parts.
     *
     * @param time current time, seconds since 1970
     * @param end deadline of the final result, seconds since 1970
     */
    public void begin(double time, double end) {
        enter();
        if (started) {
            throw new IllegalStateException("begin was called twice");
        }
        started = true;
        now = time;
        deadline = end;
        if (!reservation.tryReserve(initialReservation())) {
            streams.forEach(stream -> stream.ended = stream.spare = true);
            finish(
                    new GatherFault(
                            GatherFault.Kind.FULL,
                            null,
                            -1,
                            "not enough memory to read ahead from " + streams.size() + " parts"),
                    true);
        } else {
            streams.forEach(stream -> actions.ask(stream.part));
            streams.forEach(this::updateStream);
            advance();
            streams.forEach(stream -> stream.updateClock(now));
        }
        inCall = false;
    }

    private void enter() {
        if (inCall) {
            throw new IllegalStateException("an action called back into its gather");
        }
        inCall = true;
    }

    /**
     * Returns the stream of the part and marks the call as in progress, so that {@link #leave} must follow. Returns
     * null, without marking, if the part or the gather has already ended.
     */
    private PartStream enterIfActive(GatherPart part) {
        PartStream stream = streams.get(part.number());
        if (!stream.part.equals(part) || !started) {
            throw new IllegalArgumentException(
                    started ? "not a part of this gather: " + part : "begin has not been called");
        }
        if (finished || stream.ended) {
            ignoredEvents++;
            return null;
        }
        enter();
        return stream;
    }

    private void leave(PartStream stream) {
        updateStream(stream);
        advance();
        inCall = false;
    }

    /** Reports a position that the part has reached, if it is available before the end of the part. */
    public void positionReached(GatherPart part, double position) {
        PartStream stream = enterIfActive(part);
        if (stream != null) {
            stream.position = Math.max(stream.position, position);
            leave(stream);
        }
    }

    /** Reports the columns of the part; null if its columns are not in text format. */
    public void described(GatherPart part, List<Column> columns) {
        PartStream stream = enterIfActive(part);
        if (stream != null) {
            GatherFault fault = acceptColumns(stream, columns);
            if (fault != null) {
                reject(stream, fault);
            }
            leave(stream);
        }
    }

    private GatherFault acceptColumns(PartStream stream, List<Column> columns) {
        stream.described = true;
        if (columns == null) {
            return new GatherFault(GatherFault.Kind.MIXED, stream.part, 0, "the columns are not in text format");
        }
        if (layout == null) {
            var first = new ColumnLayout(spec, List.copyOf(columns), part -> streams.get(part.number()).position);
            layout = first.problem() == null ? first : null;
            return layout != null ? null : new GatherFault(GatherFault.Kind.UNFIT, stream.part, 0, first.problem());
        }
        String difference = layout.difference(columns);
        if (difference == null) {
            layout.relaxModifiers(columns);
        }
        return difference == null ? null : new GatherFault(GatherFault.Kind.MIXED, stream.part, 0, difference);
    }

    /**
     * Reports a row of the part as a complete DataRow message. The array is kept without a copy and must not be
     * modified.
     */
    public void row(GatherPart part, byte[] message) {
        PartStream stream = enterIfActive(part);
        if (stream != null) {
            GatherFault fault = acceptRow(stream, message);
            if (fault != null) {
                reject(stream, fault);
            }
            leave(stream);
        }
    }

    private GatherFault acceptRow(PartStream stream, byte[] message) {
        stream.rows++;
        stream.credit--;
        GatherFault.Kind limitFault = checkLimits(stream, message);
        if (limitFault != null) {
            return fault(stream, limitFault, message);
        }
        if (stream.rows > spec.limit().depth()) {
            stream.rows--;
            stream.end(true);
            actions.recall(stream.part);
            return null;
        }
        ColumnValue[] cells = new ColumnValue[layout.reader().slotCount()];
        int column = layout.reader().read(message, cells);
        if (column != ColumnReader.SUCCESS) {
            return column == ColumnReader.MALFORMED
                    ? fault(stream, GatherFault.Kind.WIDTH, message)
                    : new GatherFault(
                            GatherFault.Kind.UNREADABLE,
                            stream.part,
                            stream.rows,
                            "column " + layout.columns().get(column).name() + " does not hold a valid value of type "
                                    + layout.columns().get(column).type());
        }
        Row row = new Row(stream.part, stream.rows, message, layout.reader(), cells);
        boolean ordered = spec.sorted() && spec.groups() == null;
        if (ordered) {
            layout.order().setSortPrefix(row);
        }
        if (ordered && stream.lastRow != null && layout.order().compareKeys(stream.lastRow, row) > 0) {
            return fault(stream, GatherFault.Kind.UNORDERED, message);
        }
        stream.lastRow = ordered ? row : null;
        strategy.addRow(stream, row, layout);
        return null;
    }

    private GatherFault.Kind checkLimits(PartStream stream, byte[] message) {
        return stream.credit < 0
                ? GatherFault.Kind.OVERRUN
                : message.length > plan.bufferLimits().maxRowBytes()
                        ? GatherFault.Kind.TOO_LONG
                        : !stream.described
                                ? GatherFault.Kind.WIDTH
                                : stream.rows > plan.bufferLimits().maxPartRows() ? GatherFault.Kind.ENDLESS : null;
    }

    private GatherFault fault(PartStream stream, GatherFault.Kind kind, byte[] message) {
        return new GatherFault(
                kind,
                stream.part,
                stream.rows,
                switch (kind) {
                    case OVERRUN -> "the row exceeds the granted credit";
                    case TOO_LONG ->
                        message.length + " bytes, more than "
                                + plan.bufferLimits().maxRowBytes();
                    case WIDTH ->
                        stream.described
                                ? Row.width(message) + " columns instead of "
                                        + layout.reader().columnCount()
                                : "the row arrived before the column description";
                    case ENDLESS -> "more rows than the limit for one part";
                    default -> "the row sorts before its predecessor";
                });
    }

    /**
     * Reports that the part has sent its last row.
     *
     * @param position applied position at which the part was read, seconds since 1970; negative infinity if unknown
     */
    public void ended(GatherPart part, double position) {
        PartStream stream = enterIfActive(part);
        if (stream != null) {
            stream.position = Math.max(stream.position, position);
            stream.end(stream.rows >= spec.limit().depth());
            leave(stream);
        }
    }

    /**
     * Reports that the part failed before its end.
     *
     * @param mayAskAgain whether the router allows another attempt. It has no effect once the merge has started,
     *     because rows of the part may be in the answer already
     */
    public void failed(GatherPart part, String reason, boolean mayAskAgain) {
        PartStream stream = enterIfActive(part);
        if (stream != null) {
            if (mayAskAgain && !mergeStarted) {
                strategy.discard(stream);
                stream.reset();
                actions.ask(part);
            } else {
                stream.fail(PartStatus.MISSING, reason, null);
            }
            leave(stream);
        }
    }

    /** Allows that many more rows to be emitted; the initial number is 0. */
    public void request(int rows) {
        if (!started) {
            out.request(rows);
        } else if (!finished) {
            enter();
            out.request(rows);
            advance();
            inCall = false;
        }
    }

    /** Ends the gather at once because the answer is no longer wanted. */
    public void cancel() {
        if (started && !finished) {
            enter();
            finish(null, true);
            inCall = false;
        }
    }

    /**
     * Advances the time, in seconds since 1970.
     *
     * @return the latest time of the next tick, positive infinity if none is needed; earlier ticks are harmless
     */
    public double tick(double time) {
        if (finished || !started) {
            return Double.POSITIVE_INFINITY;
        }
        enter();
        now = Math.max(now, time);
        boolean expired = now >= deadline;
        for (PartStream stream : streams) {
            stream.updateClock(now);
            if (!stream.ended && (expired || stream.isLate(plan.partTimeout()))) {
                actions.recall(stream.part);
                stream.fail(
                        PartStatus.LATE,
                        expired ? "not complete by the deadline" : "exceeded the time limit of a part",
                        null);
                updateCounts(stream);
            }
        }
        advance();
        if (expired && !finished) { // the receiver does not accept the remaining rows
            finish(null, true);
        }
        inCall = false;
        return finished ? Double.POSITIVE_INFINITY : nextTickTime();
    }

    private double nextTickTime() {
        double next = deadline;
        for (PartStream stream : streams) {
            stream.updateClock(now);
            next = Math.min(next, stream.dueTime(plan.partTimeout()));
        }
        return next;
    }

    /** Excludes a part that has sent invalid data. Its rows that have not been emitted yet are dropped. */
    private void reject(PartStream stream, GatherFault fault) {
        actions.recall(stream.part);
        stream.fail(PartStatus.MISSING, fault.toString(), fault);
        strategy.discard(stream);
    }

    /** Grants the part more credit if there is room, and updates the counts of streams. */
    private void updateStream(PartStream stream) {
        int more = stream.ended
                ? 0
                : stream.creditToGrant(
                        plan.bufferLimits().bufferRows(), readAheadBytes, maxRowWeight, strategy.usefulRows(out));
        if (more > 0) {
            stream.credit += more;
            actions.credit(stream.part, more);
        }
        stream.stopClockIfIdle();
        updateCounts(stream);
    }

    private void updateCounts(PartStream stream) {
        if (mergeStarted && !stream.ended) {
            return; // the counts only decide when the merge may start
        }
        boolean readyNow = strategy.ready(stream);
        boolean countsNow = stream.ended ? !stream.truncated && !isTooOld(stream) : strategy.countsForQuorum(stream);
        boolean lostNow = stream.ended
                && !stream.spare
                && ((stream.truncated && stream.buffer.isEmpty()) || (stream.failure == null && isTooOld(stream)));
        readyParts += countChange(stream.ready, readyNow);
        quorumParts += countChange(stream.countsForQuorum, countsNow);
        lostParts += countChange(stream.lost, lostNow);
        stream.ready = readyNow;
        stream.countsForQuorum = countsNow;
        stream.lost = lostNow;
    }

    private static int countChange(boolean before, boolean after) {
        return before == after ? 0 : after ? 1 : -1;
    }

    private boolean isTooOld(PartStream stream) {
        return stream.position < plan.minPosition();
    }

    /** Starts, continues or ends the merge as the events so far require. */
    private void advance() {
        if (strategy.fault() != null || (!plan.allowPartial() && cannotComplete())) {
            finish(strategy.fault(), true);
            return;
        }
        if (!mergeStarted && canStartMerge()) {
            startMerge();
        }
        boolean done = mergeStarted && strategy.emitAvailable(out);
        if (strategy.fault() != null || done) {
            finish(strategy.fault(), strategy.fault() != null);
        } else if (!plan.allowPartial()
                && cannotComplete()) { // the last buffered row of a failed part has been emitted
            finish(null, true);
        }
    }

    /** Whether too many parts are lost for the completion policy to be met. */
    private boolean cannotComplete() {
        return !(plan.completion() instanceof CompletionPolicy.Best)
                && streams.size() - spareParts - lostParts < requiredParts();
    }

    private long requiredParts() {
        return plan.completion() instanceof CompletionPolicy.Quorum quorum ? quorum.parts() : streams.size();
    }

    private boolean canStartMerge() {
        return plan.completion() instanceof CompletionPolicy.Quorum quorum
                ? quorumParts >= quorum.parts() || streams.stream().allMatch(stream -> stream.ended)
                : readyParts == streams.size();
    }

    private void startMerge() {
        mergeStarted = true;
        if (plan.completion() instanceof CompletionPolicy.Quorum quorum && quorumParts >= quorum.parts()) {
            List<PartStream> needed = streams.stream()
                    .filter(stream -> stream.countsForQuorum)
                    .limit(quorum.parts())
                    .toList();
            streams.stream().filter(stream -> !needed.contains(stream)).forEach(this::markSpare);
        }
        strategy.begin(streams.stream().filter(stream -> !stream.spare).toList(), layout);
        if (layout != null) {
            out.begin(layout.answerColumns());
        }
    }

    private void markSpare(PartStream stream) {
        if (!stream.ended) {
            actions.recall(stream.part);
        }
        stream.ended = true;
        stream.spare = true;
        stream.clear();
        spareParts++;
        updateCounts(stream);
    }

    /**
     * Ends the gather and reports its result; every end goes through this method.
     *
     * @param broken whether the gather ended before the end of the answer
     */
    private void finish(GatherFault fault, boolean broken) {
        finished = true;
        var notes = new ArrayList<PartNote>();
        for (PartStream stream : streams) {
            if (!stream.ended) {
                actions.recall(stream.part);
            }
            stream.missingRows = mergeStarted ? stream.missingRows : stream.truncated;
            PartStatus status = status(stream, broken);
            String reason = stream.missingRows && stream.depthReached
                    ? "may have more rows than were requested"
                    : stream.reason;
            notes.add(new PartNote(
                    stream.part, status, status == PartStatus.WHOLE ? "" : reason, stream.fault, stream.position));
        }
        GatherResult result = result(fault, broken, List.copyOf(notes));
        strategy.release();
        streams.forEach(PartStream::clear);
        reservation.close();
        if (layout != null) {
            out.begin(layout.answerColumns());
        }
        actions.finish(result);
    }

    private GatherResult result(GatherFault fault, boolean broken, List<PartNote> notes) {
        List<PartNote> used = notes.stream()
                .filter(note -> switch (note.status()) {
                    case WHOLE, OLD, CUT -> true;
                    case SPARE, MISSING, LATE -> false;
                })
                .toList();
        boolean complete = !broken
                && used.stream()
                                .filter(note -> note.status() == PartStatus.WHOLE)
                                .count()
                        >= requiredParts();
        boolean usable = complete || (!broken && plan.completion() instanceof CompletionPolicy.Best && !used.isEmpty());
        var truncation = new Truncation(
                broken && now >= deadline ? Truncation.Where.DEADLINE : out.where(),
                !broken && streams.stream().noneMatch(stream -> stream.missingRows),
                streams.stream()
                        .filter(stream -> stream.missingRows && stream.depthReached)
                        .map(stream -> stream.part)
                        .toList());
        double position = used.stream().mapToDouble(PartNote::position).min().orElse(Double.POSITIVE_INFINITY);
        return new GatherResult(
                fault != null ? Outcome.FAILED : complete ? Outcome.COMPLETE : Outcome.PARTIAL,
                usable,
                position,
                notes,
                truncation,
                out.rows(),
                fault,
                strategy.conflicts(),
                strategy.errors());
    }

    /**
     * The status of a part. A failed part still counts as whole if the answer ended before it needed more rows of that
     * part.
     */
    private PartStatus status(PartStream stream, boolean broken) {
        if (stream.spare || (!stream.ended && broken)) {
            return PartStatus.SPARE;
        }
        if (stream.missingRows || (stream.failure != null && broken)) {
            return stream.failure == null || stream.usedRows > 0 ? PartStatus.CUT : stream.failure;
        }
        return isTooOld(stream) ? PartStatus.OLD : PartStatus.WHOLE;
    }

    /** Whether the final result has been reported. */
    public boolean finished() {
        return finished;
    }

    /** Number of events ignored because their part, or the whole gather, had ended. */
    public long ignoredEvents() {
        return ignoredEvents;
    }

    /** Bytes of memory of the rows in the read-ahead buffers. */
    long bufferedBytes() {
        return streams.stream().mapToLong(PartStream::bufferedBytes).sum();
    }

    /** Bytes of memory currently reserved from the memory pool. */
    public long reservedBytes() {
        return reservation.used();
    }

    /** Highest number of bytes that were reserved at one time. */
    public long peakReservedBytes() {
        return reservation.peak();
    }
}
