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
    enum Way {
        WHOLE,
        SILENT,
        BREAKS,
        BREAKS_ONCE
    }

    static final double DEADLINE = 10;
    private static final long ALLOWANCE = 64 << 20;

    final List<GatherPart> parts = new ArrayList<>();
    final List<List<byte[]>> data;
    final List<Way> ways = new ArrayList<>();
    final double[] positions;
    final List<List<String>> rows = new ArrayList<>();
    final Set<GatherPart> running = new HashSet<>();
    final Random random;
    final Gather gather;
    List<Column> columns;
    GatherResult verdict;
    int asks;
    private final int[] credit;
    private final int[] given;
    private final boolean[] described;
    private final List<Column> source;
    private long left = ALLOWANCE;
    private int room;
    private final long most;

    Play(long seed, GatherPlan plan, List<Column> source, List<List<List<String>>> data) {
        random = new Random(seed);
        this.source = source;
        this.data = data.stream()
                .map(lines -> lines.stream().map(RowSet::message).toList())
                .toList();
        positions = random.doubles(data.size(), 0, 3).map(Math::floor).toArray();
        credit = new int[data.size()];
        given = new int[data.size()];
        described = new boolean[data.size()];
        for (int i = 0; i < data.size(); i++) {
            parts.add(new GatherPart("p" + i, i));
            ways.add(Way.WHOLE);
        }
        most = plan.bounds().heldBytes()
                + plan.bounds().bufferBytes()
                + 4L * data.size() * (plan.bounds().longestRow() + 512);
        gather = new Gather(
                plan,
                parts,
                new MemoryPool() {
                    @Override
                    public boolean take(long bytes) {
                        left -= bytes;
                        assertTrue(ALLOWANCE - left <= most, "memory beyond the bound");
                        return true;
                    }

                    @Override
                    public void give(long bytes) {
                        left += bytes;
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
        while (verdict == null && now <= DEADLINE) {
            if (random.nextInt(4) == 0) {
                room++;
                gather.request(1);
            }
            now += random.nextInt(20) == 0 ? 0.01 : 0;
            if (!step() && room > rows.size()) {
                now = gather.turn(now) + 0.001; // nothing happens any more: the next thing is a deadline
            }
            gather.turn(now);
            assertTrue(gather.readAhead() <= gather.held(), "more read ahead than was taken for it");
        }
        assertTrue(gather.over(), "an answer by its deadline");
        assertEquals(ALLOWANCE, left, "all memory is given back");
        assertTrue(running.isEmpty(), "still running: " + running);
        late();
        return verdict;
    }

    private boolean step() {
        var able = parts.stream()
                .filter(part -> running.contains(part) && able(part.number()))
                .toList();
        if (able.isEmpty()) {
            return false;
        }
        GatherPart part = able.get(random.nextInt(able.size()));
        int i = part.number();
        if (!described[i]) {
            described[i] = true;
            gather.described(part, source);
        } else if (ways.get(i) != Way.WHOLE && given[i] >= data.get(i).size() / 2) {
            boolean again = ways.get(i) == Way.BREAKS_ONCE;
            ways.set(i, again ? Way.WHOLE : Way.BREAKS);
            running.remove(part);
            gather.failed(part, "gone", again);
        } else if (given[i] < data.get(i).size()) {
            credit[i]--;
            gather.row(part, data.get(i).get(given[i]++));
        } else {
            running.remove(part);
            gather.ended(part, positions[i]);
        }
        return true;
    }

    private boolean able(int i) {
        boolean half = ways.get(i) != Way.WHOLE && given[i] >= data.get(i).size() / 2;
        return !described[i]
                || (half ? ways.get(i) != Way.SILENT : given[i] == data.get(i).size() || credit[i] > 0);
    }

    /** News after the end change nothing. */
    private void late() {
        long before = gather.lateNews();
        int emitted = rows.size();
        parts.forEach(part -> gather.ended(part, 99));
        parts.forEach(part -> gather.failed(part, "late", true));
        gather.request(5);
        assertEquals(Double.POSITIVE_INFINITY, gather.turn(99));
        assertEquals(before + 2L * parts.size(), gather.lateNews());
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
        assertFalse(columns == null || verdict != null || rows.size() >= room, "a row out of turn");
        rows.add(RowSet.values(row));
    }

    @Override
    public void finish(GatherResult end) {
        assertNull(verdict, "two final answers");
        verdict = end;
    }
}
