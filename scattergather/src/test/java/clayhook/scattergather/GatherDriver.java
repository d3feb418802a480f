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

/**
 * Drives a gather with events of its parts in a random order drawn from a seed, and asserts the invariants of its
 * actions.
 */
final class GatherDriver implements GatherActions {
    /**
     * How a part behaves: sends all rows; stalls after half of its rows; fails there for good; or fails there and
     * succeeds when asked again.
     */
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
    int askCount;
    private final int[] credit;
    private final int[] sentRows;
    private final boolean[] described;
    private final List<Column> describedColumns;
    private long freeBytes = POOL_BYTES;
    private int requested;
    private final long maxReserved;

    GatherDriver(long seed, GatherPlan plan, List<Column> describedColumns, List<List<List<String>>> messages) {
        random = new Random(seed);
        this.describedColumns = describedColumns;
        this.messages = messages.stream()
                .map(lines -> lines.stream().map(RowSet::message).toList())
                .toList();
        positions = random.doubles(messages.size(), 0, 3).map(Math::floor).toArray();
        credit = new int[messages.size()];
        sentRows = new int[messages.size()];
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
                        assertTrue(POOL_BYTES - freeBytes <= maxReserved, "reserved memory exceeds the limit");
                        return true;
                    }

                    @Override
                    public void release(long bytes) {
                        freeBytes += bytes;
                    }
                },
                this);
    }

    static List<List<List<String>>> texts(RandomParts sample) {
        return sample.parts.stream()
                .map(lines -> lines.stream().map(RandomParts.Line::texts).toList())
                .toList();
    }

    /** Runs the gather to its end while time advances; returns the final result. */
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
                now = gather.tick(now) + 0.001; // no part can proceed: skip to the next deadline
            }
            gather.tick(now);
            assertTrue(gather.bufferedBytes() <= gather.reservedBytes(), "buffered bytes exceed the reservation");
        }
        assertTrue(gather.finished(), "no result by the deadline");
        assertEquals(POOL_BYTES, freeBytes, "not all memory was released");
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
            gather.described(part, describedColumns);
        } else if (behaviors.get(i) != PartBehavior.WHOLE
                && sentRows[i] >= messages.get(i).size() / 2) {
            boolean mayAskAgain = behaviors.get(i) == PartBehavior.FAILS_ONCE;
            behaviors.set(i, mayAskAgain ? PartBehavior.WHOLE : PartBehavior.FAILS);
            running.remove(part);
            gather.failed(part, "gone", mayAskAgain);
        } else if (sentRows[i] < messages.get(i).size()) {
            credit[i]--;
            gather.row(part, messages.get(i).get(sentRows[i]++));
        } else {
            running.remove(part);
            gather.ended(part, positions[i]);
        }
        return true;
    }

    private boolean ready(int i) {
        boolean atFailurePoint = behaviors.get(i) != PartBehavior.WHOLE
                && sentRows[i] >= messages.get(i).size() / 2;
        return !described[i]
                || (atFailurePoint
                        ? behaviors.get(i) != PartBehavior.STALLS
                        : sentRows[i] == messages.get(i).size() || credit[i] > 0);
    }

    /** Asserts that events after the end change nothing. */
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
        askCount++;
        running.add(part);
        credit[part.number()] = 0;
        sentRows[part.number()] = 0;
        described[part.number()] = false;
    }

    @Override
    public void recall(GatherPart part) {
        assertTrue(running.remove(part), "recalled a part that is not running: " + part);
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
        assertFalse(
                columns == null || result != null || rows.size() >= requested,
                "row before the columns, after the result or without demand");
        rows.add(RowSet.values(row));
    }

    @Override
    public void finish(GatherResult finalResult) {
        assertNull(result, "more than one final result");
        result = finalResult;
    }
}
