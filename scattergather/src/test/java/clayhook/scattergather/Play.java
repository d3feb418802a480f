package clayhook.scattergather;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Plays parts to a gather in an order of events drawn from a seed, and watches what it may never do. */
final class Play implements GatherActions {
    /** What a part does: to its end, never beyond some row, broken off there for good or until asked again. */
    enum PartBehavior {
        WHOLE,
        STALLS,
        FAILS,
        FAILS_ONCE
    }

    static final double DEADLINE = 10;
    private static final long POOL_BYTES = 64 << 20;

    final List<GatherPart> parts = new ArrayList<>();
    final List<List<byte[]>> messages;
    final List<PartBehavior> behaviors = new ArrayList<>();
    final double[] positions;
    final List<List<String>> rows = new ArrayList<>();
    final Set<GatherPart> running = new HashSet<>();
    final Random random;
    final Gather gather;
    List<Column> columns;
    GatherResult result;
    int asks;
    private final int[] credit;
    private final int[] given;
    private final boolean[] described;
    private final List<Column> source;
    private long freeBytes = POOL_BYTES;
    private int requested;
    private final long maxReserved;

    Play(long seed, GatherPlan plan, List<Column> source, List<List<List<String>>> messages) {
        random = new Random(seed);
        this.source = source;
        this.messages = messages.stream()
                .map(lines -> lines.stream().map(RowSet::message).toList())
                .toList();
        positions = random.doubles(messages.size(), 0, 3).map(Math::floor).toArray();
        credit = new int[messages.size()];
        given = new int[messages.size()];
        described = new boolean[messages.size()];
        for (int i = 0; i < messages.size(); i++) {
            parts.add(new GatherPart("p" + i, i));
            behaviors.add(PartBehavior.WHOLE);
        }
        maxReserved = plan.bufferLimits().maxHeldBytes()
                + plan.bufferLimits().bufferBytes()
                + 4L * messages.size() * (plan.bufferLimits().maxRowBytes() + 512);
        gather = new Gather(
                plan,
                parts,
                new MemoryPool() {
                    @Override
                    public boolean tryReserve(long bytes) {
                        freeBytes -= bytes;
                        assertTrue(POOL_BYTES - freeBytes <= maxReserved, "memory beyond the bound");
                        return true;
                    }

                    @Override
                    public void release(long bytes) {
                        freeBytes += bytes;
                    }
                },
                this);
    }

    static List<List<List<String>>> texts(Sample sample) {
        return sample.parts.stream()
                .map(lines -> lines.stream().map(Sample.Line::texts).toList())
                .toList();
    }

    /** To the end, with time going on; returns the verdict. */
    GatherResult run() {
        gather.begin(0, DEADLINE);
        double now = 0;
        while (result == null && now <= DEADLINE) {
            if (random.nextInt(4) == 0) {
                requested++;
                gather.request(1);
            }
            now += random.nextInt(20) == 0 ? 0.01 : 0;
            if (!step() && requested > rows.size()) {
                now = gather.tick(now) + 0.001; // nothing happens any more: the next thing is a deadline
            }
            gather.tick(now);
            assertTrue(gather.bufferedBytes() <= gather.reservedBytes(), "more read ahead than was taken for it");
        }
        assertTrue(gather.finished(), "an answer by its deadline");
        assertEquals(POOL_BYTES, freeBytes, "all memory is given back");
        assertTrue(running.isEmpty(), "still running: " + running);
        sendLateEvents();
        return result;
    }

    private boolean step() {
        var ready = parts.stream()
                .filter(part -> running.contains(part) && ready(part.number()))
                .toList();
        if (ready.isEmpty()) {
            return false;
        }
        GatherPart part = ready.get(random.nextInt(ready.size()));
        int i = part.number();
        if (!described[i]) {
            described[i] = true;
            gather.described(part, source);
        } else if (behaviors.get(i) != PartBehavior.WHOLE
                && given[i] >= messages.get(i).size() / 2) {
            boolean again = behaviors.get(i) == PartBehavior.FAILS_ONCE;
            behaviors.set(i, again ? PartBehavior.WHOLE : PartBehavior.FAILS);
            running.remove(part);
            gather.failed(part, "gone", again);
        } else if (given[i] < messages.get(i).size()) {
            credit[i]--;
            gather.row(part, messages.get(i).get(given[i]++));
        } else {
            running.remove(part);
            gather.ended(part, positions[i]);
        }
        return true;
    }

    private boolean ready(int i) {
        boolean half = behaviors.get(i) != PartBehavior.WHOLE
                && given[i] >= messages.get(i).size() / 2;
        return !described[i]
                || (half
                        ? behaviors.get(i) != PartBehavior.STALLS
                        : given[i] == messages.get(i).size() || credit[i] > 0);
    }

    /** News after the end change nothing. */
    private void sendLateEvents() {
        long before = gather.ignoredEvents();
        int emitted = rows.size();
        parts.forEach(part -> gather.ended(part, 99));
        parts.forEach(part -> gather.failed(part, "late", true));
        gather.request(5);
        assertEquals(Double.POSITIVE_INFINITY, gather.tick(99));
        assertEquals(before + 2L * parts.size(), gather.ignoredEvents());
        assertEquals(emitted, rows.size());
    }

    @Override
    public void ask(GatherPart part) {
        asks++;
        running.add(part);
        credit[part.number()] = 0;
        given[part.number()] = 0;
        described[part.number()] = false;
    }

    @Override
    public void recall(GatherPart part) {
        assertTrue(running.remove(part), "recalled what does not run: " + part);
    }

    @Override
    public void credit(GatherPart part, int more) {
        assertTrue(more > 0 && running.contains(part));
        credit[part.number()] += more;
    }

    @Override
    public void columns(List<Column> shown) {
        assertNull(columns);
        columns = shown;
    }

    @Override
    public void emit(byte[] row) {
        assertFalse(columns == null || result != null || rows.size() >= requested, "a row out of turn");
        rows.add(RowSet.values(row));
    }

    @Override
    public void finish(GatherResult end) {
        assertNull(result, "two final answers");
        result = end;
    }
}
