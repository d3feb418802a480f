package clayhook.scattergather;

import clayhook.scattergather.GatherResult.Outcome;
import clayhook.scattergather.GatherResult.PartNote;
import clayhook.scattergather.GatherResult.PartStatus;
import clayhook.scattergather.GatherResult.Truncation;
import java.util.ArrayList;
import java.util.List;

/**
 * One answer from many parts. It is told what comes and what time it is, and says what to do; it retries nothing by
 * itself. There is exactly one final answer, at the first {@link #turn} at or after the deadline at the latest,
 * whatever comes in whatever order. What comes from a part after its end, its recall or the answer is ignored and
 * counted.
 *
 * <p>For one thread. Events count as of the last time told, so of what is ready at once the events are told first, then
 * the time: a router that stood still itself then blames no part for it. Of a part that is asked again, what the
 * earlier asking still brings is not to be told.
 */
public final class Gather {
    private final GatherPlan plan;
    private final MergeSpec merging;
    private final List<PartStream> streams;
    private final MemoryReservation account;
    private final GatherActions acts;
    private final MergeStrategy blend;
    private final AnswerWriter out;
    /** The most that a row can weigh, and what is read ahead of each part. */
    private final long heaviest;

    private final long ahead;
    private ColumnLayout layout;
    private double now;
    private double deadline;
    private boolean begun;
    /** From when on rows become the answer, and no part is asked again. */
    private boolean blending;

    private boolean over;
    /** Whether something is being done, so that an act that calls back is noticed. */
    private boolean busy;

    private long lateNews;
    /** How many streams are so, as of {@link #note}: that is cheaper than looking at all of them at each row. */
    private int ready;

    private int firm;
    private int lost;
    private int spare;

    /** @param parts in the order of their numbers, which count from 0 */
    public Gather(GatherPlan plan, List<GatherPart> parts, MemoryPool allowance, GatherActions acts) {
        this.plan = plan;
        this.acts = acts;
        merging = plan.merging();
        streams = parts.stream().map(PartStream::new).toList();
        for (int i = 0; i < parts.size(); i++) {
            if (parts.get(i).number() != i) {
                throw new IllegalArgumentException(
                        "part " + parts.get(i) + " has number " + parts.get(i).number() + " in place " + i);
            }
        }
        BufferLimits bounds = plan.bounds();
        int cells = merging.order().size()
                + (merging.duplicates() == null
                        ? 0
                        : merging.duplicates().key().size()
                                + merging.duplicates().rules().size());
        heaviest = Row.weight(bounds.longestRow(), cells);
        ahead = Math.max(
                heaviest, Math.min(bounds.bufferBytes() / Math.max(1, parts.size()), bounds.bufferRows() * heaviest));
        account = new MemoryReservation(allowance, reserve() + bounds.heldBytes());
        blend = merging.streams()
                ? new SortedMerge(merging, account, bounds, this::follow)
                : new BufferedMerge(merging, account, bounds);
        out = new AnswerWriter(acts, merging.limit());
    }

    /**
     * What is taken at once: what is read ahead, and of each part the row before, against which its order is checked.
     */
    private long reserve() {
        return merging.streams() ? streams.size() * (ahead + heaviest) : 0;
    }

    /**
     * Asks all parts.
     *
     * @param time now, seconds since 1970
     * @param end when the final answer is due at the latest, seconds since 1970
     */
    public void begin(double time, double end) {
        enter();
        if (begun) {
            throw new IllegalStateException("begun twice");
        }
        begun = true;
        now = time;
        deadline = end;
        if (!account.take(reserve())) {
            streams.forEach(stream -> stream.over = stream.spare = true);
            finish(
                    new GatherFault(
                            GatherFault.Kind.FULL,
                            null,
                            -1,
                            "no memory is left to read ahead of " + streams.size() + " parts"),
                    true);
        } else {
            streams.forEach(stream -> acts.ask(stream.part));
            streams.forEach(this::follow);
            settle();
            streams.forEach(stream -> stream.clock(now));
        }
        busy = false;
    }

    private void enter() {
        if (busy) {
            throw new IllegalStateException("an act calls back into its gather");
        }
        busy = true;
    }

    /** The part's stream, if it is still heard; then {@link #leave} must follow. */
    private PartStream heard(GatherPart part) {
        PartStream stream = streams.get(part.number());
        if (!stream.part.equals(part) || !begun) {
            throw new IllegalArgumentException(begun ? "no part of this gather: " + part : "not begun");
        }
        if (over || stream.over) {
            lateNews++;
            return null;
        }
        enter();
        return stream;
    }

    private void leave(PartStream stream) {
        follow(stream);
        settle();
        busy = false;
    }

    /** A position that the part is known to have reached, told ahead of its end where that is known. */
    public void placed(GatherPart part, double position) {
        PartStream stream = heard(part);
        if (stream != null) {
            stream.position = Math.max(stream.position, position);
            leave(stream);
        }
    }

    /** The part's columns; of a part that cannot be described as text, null. */
    public void described(GatherPart part, List<Column> columns) {
        PartStream stream = heard(part);
        if (stream != null) {
            GatherFault fault = describe(stream, columns);
            if (fault != null) {
                reject(stream, fault);
            }
            leave(stream);
        }
    }

    private GatherFault describe(PartStream stream, List<Column> columns) {
        stream.described = true;
        if (columns == null) {
            return new GatherFault(GatherFault.Kind.MIXED, stream.part, 0, "no columns of text");
        }
        if (layout == null) {
            var first = new ColumnLayout(merging, List.copyOf(columns), part -> streams.get(part.number()).position);
            layout = first.misfit() == null ? first : null;
            return layout != null ? null : new GatherFault(GatherFault.Kind.UNFIT, stream.part, 0, first.misfit());
        }
        String differs = layout.differs(columns);
        if (differs == null) {
            layout.loosen(columns);
        }
        return differs == null ? null : new GatherFault(GatherFault.Kind.MIXED, stream.part, 0, differs);
    }

    /** A row of the part, a whole DataRow message; it is kept as it is and must not change any more. */
    public void row(GatherPart part, byte[] message) {
        PartStream stream = heard(part);
        if (stream != null) {
            GatherFault fault = admit(stream, message);
            if (fault != null) {
                reject(stream, fault);
            }
            leave(stream);
        }
    }

    private GatherFault admit(PartStream stream, byte[] message) {
        stream.rows++;
        stream.owed--;
        GatherFault.Kind unfit = unfit(stream, message);
        if (unfit != null) {
            return fault(stream, unfit, message);
        }
        if (stream.rows > merging.limit().depth()) {
            stream.rows--;
            stream.end(true);
            acts.recall(stream.part);
            return null;
        }
        ColumnValue[] cells = new ColumnValue[layout.reading().size()];
        int column = layout.reading().read(message, cells);
        if (column != ColumnReader.READ) {
            return column == ColumnReader.MISSHAPEN
                    ? fault(stream, GatherFault.Kind.WIDTH, message)
                    : new GatherFault(
                            GatherFault.Kind.UNREADABLE,
                            stream.part,
                            stream.rows,
                            "column " + layout.columns().get(column).name() + " is no value of type "
                                    + layout.columns().get(column).type());
        }
        Row row = new Row(stream.part, stream.rows, message, layout.reading(), cells);
        boolean ordered = merging.sorted() && merging.groups() == null;
        if (ordered) {
            layout.order().mark(row);
        }
        if (ordered && stream.last != null && layout.order().keys(stream.last, row) > 0) {
            return fault(stream, GatherFault.Kind.UNORDERED, message);
        }
        stream.last = ordered ? row : null;
        blend.take(stream, row, layout);
        return null;
    }

    private GatherFault.Kind unfit(PartStream stream, byte[] message) {
        return stream.owed < 0
                ? GatherFault.Kind.OVERRUN
                : message.length > plan.bounds().longestRow()
                        ? GatherFault.Kind.TOO_LONG
                        : !stream.described
                                ? GatherFault.Kind.WIDTH
                                : stream.rows > plan.bounds().partRows() ? GatherFault.Kind.ENDLESS : null;
    }

    private GatherFault fault(PartStream stream, GatherFault.Kind kind, byte[] message) {
        return new GatherFault(
                kind,
                stream.part,
                stream.rows,
                switch (kind) {
                    case OVERRUN -> "it was not asked for";
                    case TOO_LONG ->
                        message.length + " bytes, more than " + plan.bounds().longestRow();
                    case WIDTH ->
                        stream.described
                                ? Row.width(message) + " columns instead of "
                                        + layout.reading().width()
                                : "no columns told";
                    case ENDLESS -> "more rows than any part may have";
                    default -> "belongs before the row before it";
                });
    }

    /**
     * The part came to its end.
     *
     * @param position at which it was read, seconds since 1970; negative infinity where unknown
     */
    public void ended(GatherPart part, double position) {
        PartStream stream = heard(part);
        if (stream != null) {
            stream.position = Math.max(stream.position, position);
            stream.end(stream.rows >= merging.limit().depth());
            leave(stream);
        }
    }

    /**
     * The part broke off.
     *
     * @param mayAskAgain what the router decides. A part of which rows may be in the answer already is not asked again
     */
    public void failed(GatherPart part, String why, boolean mayAskAgain) {
        PartStream stream = heard(part);
        if (stream != null) {
            if (mayAskAgain && !blending) {
                blend.forget(stream);
                stream.reset();
                acts.ask(part);
            } else {
                stream.fall(PartStatus.MISSING, why, null);
            }
            leave(stream);
        }
    }

    /** The receiver of the answer takes that many rows more; at first it takes none. */
    public void request(int rows) {
        if (!begun) {
            out.room(rows);
        } else if (!over) {
            enter();
            out.room(rows);
            settle();
            busy = false;
        }
    }

    /** Nobody wants the answer any more: ends it at once. */
    public void cancel() {
        if (begun && !over) {
            enter();
            finish(null, true);
            busy = false;
        }
    }

    /**
     * It is now that late. @return when the next turn is due at the latest, infinity for none; an earlier one does no
     * harm
     */
    public double turn(double time) {
        if (over || !begun) {
            return Double.POSITIVE_INFINITY;
        }
        enter();
        now = Math.max(now, time);
        boolean expired = now >= deadline;
        for (PartStream stream : streams) {
            stream.clock(now);
            if (!stream.over && (expired || stream.late(plan.patience()))) {
                acts.recall(stream.part);
                stream.fall(
                        PartStatus.LATE, expired ? "not there by the deadline" : "took longer than a part may", null);
                note(stream);
            }
        }
        settle();
        if (expired && !over) { // its receiver does not take it
            finish(null, true);
        }
        busy = false;
        return over ? Double.POSITIVE_INFINITY : due();
    }

    private double due() {
        double next = deadline;
        for (PartStream stream : streams) {
            stream.clock(now);
            next = Math.min(next, stream.due(plan.patience()));
        }
        return next;
    }

    /** Guards against a part whose rows cannot be trusted: those that are not in the answer yet never will be. */
    private void reject(PartStream stream, GatherFault fault) {
        acts.recall(stream.part);
        stream.fall(PartStatus.MISSING, fault.toString(), fault);
        blend.forget(stream);
    }

    /**
     * Something has changed about that part: it may be given more credit, and what is counted of it is brought up to
     * date.
     */
    private void follow(PartStream stream) {
        int more = stream.over ? 0 : stream.room(plan.bounds().bufferRows(), ahead, heaviest, blend.useful(out));
        if (more > 0) {
            stream.owed += more;
            acts.credit(stream.part, more);
        }
        stream.rest();
        note(stream);
    }

    private void note(PartStream stream) {
        if (blending && !stream.over) {
            return; // what counts for the beginning is past
        }
        boolean isReady = blend.ready(stream);
        boolean isFirm = stream.over ? !stream.shortened && !old(stream) : blend.firm(stream);
        boolean isLost = stream.over
                && !stream.spare
                && ((stream.shortened && stream.buffer.isEmpty()) || (stream.fall == null && old(stream)));
        ready += change(stream.ready, isReady);
        firm += change(stream.firm, isFirm);
        lost += change(stream.lost, isLost);
        stream.ready = isReady;
        stream.firm = isFirm;
        stream.lost = isLost;
    }

    private static int change(boolean before, boolean after) {
        return before == after ? 0 : after ? 1 : -1;
    }

    private boolean old(PartStream stream) {
        return stream.position < plan.oldest();
    }

    /** Does what follows from what was told. */
    private void settle() {
        if (blend.fault() != null || (!plan.marked() && hopeless())) {
            finish(blend.fault(), true);
            return;
        }
        if (!blending && mayBegin()) {
            blend();
        }
        boolean done = blending && blend.pour(out);
        if (blend.fault() != null || done) {
            finish(blend.fault(), blend.fault() != null);
        } else if (!plan.marked() && hopeless()) { // the last that came of a part that broke off went out
            finish(null, true);
        }
    }

    /** Whether so many parts are lost that what is left cannot be enough. */
    private boolean hopeless() {
        return !(plan.enough() instanceof CompletionPolicy.Best) && streams.size() - spare - lost < needed();
    }

    private long needed() {
        return plan.enough() instanceof CompletionPolicy.Quorum quorum ? quorum.parts() : streams.size();
    }

    private boolean mayBegin() {
        return plan.enough() instanceof CompletionPolicy.Quorum quorum
                ? firm >= quorum.parts() || streams.stream().allMatch(stream -> stream.over)
                : ready == streams.size();
    }

    private void blend() {
        blending = true;
        if (plan.enough() instanceof CompletionPolicy.Quorum quorum && firm >= quorum.parts()) {
            List<PartStream> needed = streams.stream()
                    .filter(stream -> stream.firm)
                    .limit(quorum.parts())
                    .toList();
            streams.stream().filter(stream -> !needed.contains(stream)).forEach(this::spare);
        }
        blend.begin(streams.stream().filter(stream -> !stream.spare).toList(), layout);
        if (layout != null) {
            out.begin(layout.shown());
        }
    }

    private void spare(PartStream stream) {
        if (!stream.over) {
            acts.recall(stream.part);
        }
        stream.over = true;
        stream.spare = true;
        stream.clear();
        spare++;
        note(stream);
    }

    /**
     * The one place where it ends.
     *
     * @param broken whether the answer was not at its end
     */
    private void finish(GatherFault fault, boolean broken) {
        over = true;
        var notes = new ArrayList<PartNote>();
        for (PartStream stream : streams) {
            if (!stream.over) {
                acts.recall(stream.part);
            }
            stream.dry = blending ? stream.dry : stream.shortened;
            PartStatus standing = standing(stream, broken);
            String why = stream.dry && stream.deeper ? "has more than the rows that it was asked for" : stream.why;
            notes.add(new PartNote(
                    stream.part, standing, standing == PartStatus.WHOLE ? "" : why, stream.fault, stream.position));
        }
        GatherResult verdict = verdict(fault, broken, List.copyOf(notes));
        blend.drop();
        streams.forEach(PartStream::clear);
        account.close();
        if (layout != null) {
            out.begin(layout.shown());
        }
        acts.finish(verdict);
    }

    private GatherResult verdict(GatherFault fault, boolean broken, List<PartNote> notes) {
        List<PartNote> used = notes.stream()
                .filter(note -> switch (note.standing()) {
                    case WHOLE, OLD, CUT -> true;
                    case SPARE, MISSING, LATE -> false;
                })
                .toList();
        boolean complete = !broken
                && used.stream()
                                .filter(note -> note.standing() == PartStatus.WHOLE)
                                .count()
                        >= needed();
        boolean enough = complete || (!broken && plan.enough() instanceof CompletionPolicy.Best && !used.isEmpty());
        var cut = new Truncation(
                broken && now >= deadline ? Truncation.Where.DEADLINE : out.where(),
                !broken && streams.stream().noneMatch(stream -> stream.dry),
                streams.stream()
                        .filter(stream -> stream.dry && stream.deeper)
                        .map(stream -> stream.part)
                        .toList());
        double position = used.stream().mapToDouble(PartNote::position).min().orElse(Double.POSITIVE_INFINITY);
        return new GatherResult(
                fault != null ? Outcome.FAILED : complete ? Outcome.COMPLETE : Outcome.PARTIAL,
                enough,
                position,
                notes,
                cut,
                out.rows(),
                fault,
                blend.conflicts(),
                blend.errors());
    }

    /** A part that broke off is whole all the same where the answer ended before it would have needed more of it. */
    private PartStatus standing(PartStream stream, boolean broken) {
        if (stream.spare || (!stream.over && broken)) {
            return PartStatus.SPARE;
        }
        if (stream.dry || (stream.fall != null && broken)) {
            return stream.fall == null || stream.counted > 0 ? PartStatus.CUT : stream.fall;
        }
        return old(stream) ? PartStatus.OLD : PartStatus.WHOLE;
    }

    /** Whether the final answer was given. */
    public boolean over() {
        return over;
    }

    /** News of parts that came after they, or the whole, had ended. */
    public long lateNews() {
        return lateNews;
    }

    /** Bytes of memory that rows read ahead take. */
    long readAhead() {
        return streams.stream().mapToLong(PartStream::held).sum();
    }

    /** Bytes of memory taken from the allowance now. */
    public long held() {
        return account.used();
    }

    /** The most that was ever taken. */
    public long peak() {
        return account.peak();
    }
}
