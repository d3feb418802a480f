package clayhook.gather;

import clayhook.gather.Verdict.Cut;
import clayhook.gather.Verdict.Note;
import clayhook.gather.Verdict.Outcome;
import clayhook.gather.Verdict.Standing;
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
    private final Plan plan;
    private final Merging merging;
    private final List<Stream> streams;
    private final Account account;
    private final Acts acts;
    private final Blend blend;
    private final Output out;
    /** The most that a row can weigh, and what is read ahead of each part. */
    private final long heaviest;

    private final long ahead;
    private Layout layout;
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
    public Gather(Plan plan, List<Part> parts, Allowance allowance, Acts acts) {
        this.plan = plan;
        this.acts = acts;
        merging = plan.merging();
        streams = parts.stream().map(Stream::new).toList();
        for (int i = 0; i < parts.size(); i++) {
            if (parts.get(i).number() != i) {
                throw new IllegalArgumentException(
                        "part " + parts.get(i) + " has number " + parts.get(i).number() + " in place " + i);
            }
        }
        Bounds bounds = plan.bounds();
        int cells = merging.order().size()
                + (merging.duplicates() == null
                        ? 0
                        : merging.duplicates().key().size()
                                + merging.duplicates().rules().size());
        heaviest = Row.weight(bounds.longestRow(), cells);
        ahead = Math.max(
                heaviest, Math.min(bounds.bufferBytes() / Math.max(1, parts.size()), bounds.bufferRows() * heaviest));
        account = new Account(allowance, reserve() + bounds.heldBytes());
        blend = merging.streams()
                ? new Merge(merging, account, bounds, this::follow)
                : new Pooled(merging, account, bounds);
        out = new Output(acts, merging.limit());
    }

    /**
     * What is taken at once: what is read ahead, and of each part the row before, against which its order is checked.
     */
    private long reserve() {
        return merging.streams() ? streams.size() * (ahead + heaviest) : 0;
    }

    /** Asks all parts. @param end when the final answer is due at the latest, seconds since 1970 like {@code time} */
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
                    new Fault(
                            Fault.Kind.FULL,
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
    private Stream heard(Part part) {
        Stream stream = streams.get(part.number());
        if (stream.part != part && !stream.part.equals(part) || !begun) {
            throw new IllegalArgumentException(begun ? "no part of this gather: " + part : "not begun");
        }
        if (over || stream.over) {
            lateNews++;
            return null;
        }
        enter();
        return stream;
    }

    private void leave(Stream stream) {
        follow(stream);
        settle();
        busy = false;
    }

    /** A position that the part is known to have reached, told ahead of its end where that is known. */
    public void placed(Part part, double position) {
        Stream stream = heard(part);
        if (stream != null) {
            stream.position = Math.max(stream.position, position);
            leave(stream);
        }
    }

    /** The part's columns; of a part that cannot be described as text, null. */
    public void described(Part part, List<Column> columns) {
        Stream stream = heard(part);
        if (stream != null) {
            Fault fault = describe(stream, columns);
            if (fault != null) {
                reject(stream, fault);
            }
            leave(stream);
        }
    }

    private Fault describe(Stream stream, List<Column> columns) {
        stream.described = true;
        if (columns == null) {
            return new Fault(Fault.Kind.MIXED, stream.part, 0, "no columns of text");
        }
        if (layout == null) {
            var first = new Layout(merging, List.copyOf(columns), part -> streams.get(part.number()).position);
            layout = first.misfit() == null ? first : null;
            return layout != null ? null : new Fault(Fault.Kind.UNFIT, stream.part, 0, first.misfit());
        }
        String differs = layout.differs(columns);
        if (differs == null) {
            layout.loosen(columns);
        }
        return differs == null ? null : new Fault(Fault.Kind.MIXED, stream.part, 0, differs);
    }

    /** A row of the part, a whole DataRow message; it is kept as it is and must not change any more. */
    public void row(Part part, byte[] message) {
        Stream stream = heard(part);
        if (stream != null) {
            Fault fault = admit(stream, message);
            if (fault != null) {
                reject(stream, fault);
            }
            leave(stream);
        }
    }

    private Fault admit(Stream stream, byte[] message) {
        stream.rows++;
        stream.owed--;
        Fault.Kind unfit = unfit(stream, message);
        if (unfit != null) {
            return fault(stream, unfit, message);
        }
        if (stream.rows > merging.limit().depth()) {
            stream.rows--;
            stream.end(true);
            acts.recall(stream.part);
            return null;
        }
        Cell[] cells = new Cell[layout.reading().size()];
        int column = layout.reading().read(message, cells);
        if (column != Reading.READ) {
            return column == Reading.MISSHAPEN
                    ? fault(stream, Fault.Kind.WIDTH, message)
                    : new Fault(
                            Fault.Kind.UNREADABLE,
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
            return fault(stream, Fault.Kind.UNORDERED, message);
        }
        stream.last = ordered ? row : null;
        blend.take(stream, row, layout);
        return null;
    }

    private Fault.Kind unfit(Stream stream, byte[] message) {
        return stream.owed < 0
                ? Fault.Kind.OVERRUN
                : message.length > plan.bounds().longestRow()
                        ? Fault.Kind.TOO_LONG
                        : !stream.described
                                ? Fault.Kind.WIDTH
                                : stream.rows > plan.bounds().partRows() ? Fault.Kind.ENDLESS : null;
    }

    private Fault fault(Stream stream, Fault.Kind kind, byte[] message) {
        return new Fault(
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
     * The part came to its end. @param position at which it was read, seconds since 1970; negative infinity where
     * unknown
     */
    public void ended(Part part, double position) {
        Stream stream = heard(part);
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
    public void failed(Part part, String why, boolean mayAskAgain) {
        Stream stream = heard(part);
        if (stream != null) {
            if (mayAskAgain && !blending) {
                blend.forget(stream);
                stream.reset();
                acts.ask(part);
            } else {
                stream.fall(Standing.MISSING, why, null);
            }
            leave(stream);
        }
    }

    /** The receiver of the answer takes that many rows more; at first it takes none. */
    public void room(int rows) {
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
        for (Stream stream : streams) {
            stream.clock(now);
            if (!stream.over && (expired || stream.late(plan.patience()))) {
                acts.recall(stream.part);
                stream.fall(Standing.LATE, expired ? "not there by the deadline" : "took longer than a part may", null);
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
        for (Stream stream : streams) {
            stream.clock(now);
            next = Math.min(next, stream.due(plan.patience()));
        }
        return next;
    }

    /** Guards against a part whose rows cannot be trusted: those that are not in the answer yet never will be. */
    private void reject(Stream stream, Fault fault) {
        acts.recall(stream.part);
        stream.fall(Standing.MISSING, fault.toString(), fault);
        blend.forget(stream);
    }

    /**
     * Something has changed about that part: it may be given more credit, and what is counted of it is brought up to
     * date.
     */
    private void follow(Stream stream) {
        int more = stream.over ? 0 : stream.room(plan.bounds().bufferRows(), ahead, heaviest, blend.useful(out));
        if (more > 0) {
            stream.owed += more;
            acts.credit(stream.part, more);
        }
        stream.rest();
        note(stream);
    }

    private void note(Stream stream) {
        if (blending && !stream.over) {
            return; // what counts for the beginning is past
        }
        boolean isReady = blend.ready(stream);
        boolean isFirm = stream.over ? !stream.shortened && !old(stream) : blend.firm(stream);
        boolean isLost = stream.over
                && !stream.spare
                && (stream.shortened && stream.buffer.isEmpty() || stream.fall == null && old(stream));
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

    private boolean old(Stream stream) {
        return stream.position < plan.oldest();
    }

    /** Does what follows from what was told. */
    private void settle() {
        if (blend.fault() != null || !plan.marked() && hopeless()) {
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
        return !(plan.enough() instanceof Enough.Best) && streams.size() - spare - lost < needed();
    }

    private long needed() {
        return plan.enough() instanceof Enough.Quorum quorum ? quorum.parts() : streams.size();
    }

    private boolean mayBegin() {
        return plan.enough() instanceof Enough.Quorum quorum
                ? firm >= quorum.parts() || streams.stream().allMatch(stream -> stream.over)
                : ready == streams.size();
    }

    private void blend() {
        blending = true;
        if (plan.enough() instanceof Enough.Quorum quorum && firm >= quorum.parts()) {
            List<Stream> needed = streams.stream()
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

    private void spare(Stream stream) {
        if (!stream.over) {
            acts.recall(stream.part);
        }
        stream.over = true;
        stream.spare = true;
        stream.clear();
        spare++;
        note(stream);
    }

    /** The one place where it ends. @param broken whether the answer was not at its end */
    private void finish(Fault fault, boolean broken) {
        over = true;
        var notes = new ArrayList<Note>();
        for (Stream stream : streams) {
            if (!stream.over) {
                acts.recall(stream.part);
            }
            stream.dry = blending ? stream.dry : stream.shortened;
            Standing standing = standing(stream, broken);
            String why = stream.dry && stream.deeper ? "has more than the rows that it was asked for" : stream.why;
            notes.add(new Note(
                    stream.part, standing, standing == Standing.WHOLE ? "" : why, stream.fault, stream.position));
        }
        Verdict verdict = verdict(fault, broken, List.copyOf(notes));
        blend.drop();
        streams.forEach(Stream::clear);
        account.close();
        if (layout != null) {
            out.begin(layout.shown());
        }
        acts.finish(verdict);
    }

    private Verdict verdict(Fault fault, boolean broken, List<Note> notes) {
        List<Note> used = notes.stream()
                .filter(note -> switch (note.standing()) {
                    case WHOLE, OLD, CUT -> true;
                    case SPARE, MISSING, LATE -> false;
                })
                .toList();
        boolean complete = !broken
                && used.stream()
                                .filter(note -> note.standing() == Standing.WHOLE)
                                .count()
                        >= needed();
        boolean enough = complete || !broken && plan.enough() instanceof Enough.Best && !used.isEmpty();
        var cut = new Cut(
                broken && now >= deadline ? Cut.Where.DEADLINE : out.where(),
                !broken && streams.stream().noneMatch(stream -> stream.dry),
                streams.stream()
                        .filter(stream -> stream.dry && stream.deeper)
                        .map(stream -> stream.part)
                        .toList());
        double position = used.stream().mapToDouble(Note::position).min().orElse(Double.POSITIVE_INFINITY);
        return new Verdict(
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
    private Standing standing(Stream stream, boolean broken) {
        if (stream.spare || !stream.over && broken) {
            return Standing.SPARE;
        }
        if (stream.dry || stream.fall != null && broken) {
            return stream.fall == null || stream.counted > 0 ? Standing.CUT : stream.fall;
        }
        return old(stream) ? Standing.OLD : Standing.WHOLE;
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
        return streams.stream().mapToLong(Stream::held).sum();
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
