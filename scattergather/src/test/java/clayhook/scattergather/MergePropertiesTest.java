package clayhook.scattergather;

import static clayhook.scattergather.GatherResult.Outcome.COMPLETE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.scattergather.GatherResult.PartStatus;
import clayhook.scattergather.Sample.Line;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Whatever comes in whatever order: the answer is that of the plain way, and what is claimed of it is true. */
class MergePropertiesTest {
    /** Tight, so that credit and the bound of memory matter. */
    private static final BufferLimits TIGHT = new BufferLimits(3, 1000, 200, 1000, 500, 1 << 20);

    private static List<List<String>> texts(List<Line> lines) {
        return lines.stream().map(Line::texts).toList();
    }

    private static <T> List<T> first(long most, List<T> list) {
        return list.subList(0, (int) Math.min(most, list.size()));
    }

    @Property(tries = 1500, seed = "42")
    void theAnswerIsThatOfThePlainWay(
            @ForAll long seed,
            @ForAll @IntRange(max = 5) int parts,
            @ForAll @IntRange(max = 25) int rows,
            @ForAll boolean sorted,
            @ForAll @IntRange(max = 2) int copies,
            @ForAll boolean hasLimit) {
        Sample sample = new Sample(seed, parts, rows).arranged(sorted);
        Duplicates duplicates = copies == 0 ? null : sample.duplicates(copies == 1);
        Limit limit = hasLimit ? Limit.rows(sample.random.nextInt(12)) : Limit.NONE;
        var spec = new MergeSpec(sample.keys, sorted, duplicates, null, limit);
        Play play = new Play(seed, GatherPlan.of(spec).bufferLimits(TIGHT), Sample.COLUMNS, Play.texts(sample));
        List<Line> lines =
                duplicates == null ? sample.all() : sample.distinct(duplicates, part -> play.positions[part]);
        GatherResult result = play.run();
        assertEquals(texts(first(limit.rows(), sample.sorted(lines))), play.rows);
        assertEquals(COMPLETE, result.outcome());
        assertTrue(result.truncation().exact() && result.usable());
        assertEquals(play.rows.size(), result.rows());
    }

    /** Bytes end the answer at the first row that goes beyond them. */
    @Property(tries = 200, seed = "42")
    void bytesCutAPrefix(@ForAll long seed, @ForAll @IntRange(max = 2000) int bytes) {
        Sample sample = new Sample(seed, 3, 10).arranged(true);
        Limit limit = new Limit(Long.MAX_VALUE, bytes, Long.MAX_VALUE);
        Play play = new Play(
                seed,
                GatherPlan.of(new MergeSpec(sample.keys, true, null, null, limit)),
                Sample.COLUMNS,
                Play.texts(sample));
        GatherResult result = play.run();
        List<List<String>> whole = texts(sample.sorted(sample.all()));
        long sum = 0;
        int fit = 0;
        while (fit < whole.size() && (sum += RowSet.message(whole.get(fit)).length) <= bytes) {
            fit++;
        }
        assertEquals(first(fit, whole), play.rows);
        assertEquals(
                fit < whole.size() ? GatherResult.Truncation.Where.BYTES : GatherResult.Truncation.Where.NONE,
                result.truncation().where());
    }

    /**
     * Parts give their first rows only. An answer claimed exact is the first rows of the whole; and one that is not
     * would be another if just one more row of a part named followed, alike to its last: both by brute force.
     */
    @Property(tries = 1500, seed = "42")
    void exactMeansExact(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 4) int parts,
            @ForAll @IntRange(min = 1, max = 6) int depth,
            @ForAll @IntRange(min = 1, max = 12) int most,
            @ForAll @IntRange(max = 2) int copies) {
        Sample sample = new Sample(seed, parts, 10).arranged(true);
        Duplicates duplicates = copies == 0 ? null : sample.duplicates(copies == 1);
        Limit limit = Limit.rows(most).depth(depth);
        var given = new ArrayList<List<List<String>>>();
        boolean limited = sample.random.nextBoolean(); // by the node, or here
        for (List<Line> lines : sample.parts) {
            given.add(texts(limited ? first(depth, lines) : lines));
        }
        var spec = new MergeSpec(sample.keys, true, duplicates, null, limit);
        Play play = new Play(seed, GatherPlan.of(spec).bufferLimits(TIGHT), Sample.COLUMNS, given);
        GatherResult result = play.run();
        if (result.truncation().exact()) {
            List<Line> whole =
                    duplicates == null ? sample.all() : sample.distinct(duplicates, part -> play.positions[part]);
            assertEquals(texts(first(most, sample.sorted(whole))), play.rows);
        }
        assertEquals(
                result.truncation().exact(), result.truncation().partsWithMore().isEmpty());
        assertEquals(result.truncation().partsWithMore(), result.parts(PartStatus.CUT));
        for (GatherPart part : duplicates == null ? play.parts : List.<GatherPart>of()) {
            assertEquals(
                    result.truncation().partsWithMore().contains(part),
                    oneMoreShows(sample, part.number(), depth, most),
                    part.name());
        }
    }

    private static boolean oneMoreShows(Sample sample, int part, int depth, int most) {
        if (sample.parts.get(part).size() < depth) {
            return false; // it was seen to end
        }
        var lines = new ArrayList<Line>();
        sample.parts.forEach(all -> lines.addAll(first(depth, all)));
        List<Line> before = first(most, sample.sorted(lines));
        lines.add(
                new Line(part, depth + 1, sample.parts.get(part).get(depth - 1).values()));
        return !before.equals(first(most, sample.sorted(lines)));
    }

    /** Parts that fall silent, break, are asked again, are older; by each of the ways that are enough. */
    @Property(tries = 3000, seed = "42")
    void oneAnswerInTimeWhateverHappens(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 5) int parts,
            @ForAll @IntRange(max = 2) int enough,
            @ForAll boolean streams,
            @ForAll boolean allowPartial,
            @ForAll boolean hasLimit) {
        Sample sample = new Sample(seed, parts, 12).arranged(true);
        var random = new Random(seed);
        int quorum = 1 + random.nextInt(parts);
        Limit limit = hasLimit ? Limit.rows(random.nextInt(9)) : Limit.NONE;
        GatherPlan plan = GatherPlan.of(new MergeSpec(sample.keys, streams, null, null, limit))
                .bufferLimits(TIGHT)
                .partTimeout(1 + random.nextInt(9))
                .completion(
                        enough == 0
                                ? new CompletionPolicy.All()
                                : enough == 1 ? new CompletionPolicy.Quorum(quorum) : new CompletionPolicy.Best())
                .minPosition(random.nextBoolean() ? 1 : Double.NEGATIVE_INFINITY);
        Play play = new Play(seed, allowPartial ? plan : plan.wholeOrError(), Sample.COLUMNS, Play.texts(sample));
        var plays = new ArrayList<Play.PartBehavior>();
        for (int i = 0; i < parts; i++) {
            play.behaviors.set(i, Play.PartBehavior.values()[random.nextBoolean() ? 0 : random.nextInt(4)]);
            plays.add(play.behaviors.get(i));
        }
        GatherResult result = play.run();
        assertEquals(parts, result.notes().size());
        List<GatherPart> whole = result.parts(PartStatus.WHOLE);
        int needed = enough == 1 ? quorum : parts;
        if (result.outcome() == COMPLETE) {
            assertTrue(whole.size() >= needed && result.usable());
            List<Line> used = sample.all().stream()
                    .filter(line -> whole.contains(play.parts.get(line.part())))
                    .toList();
            assertEquals(texts(first(limit.rows(), sample.sorted(used))), play.rows);
            assertFalse(result.position() < plan.minPosition());
        } else {
            assertTrue(
                    whole.size() < needed || result.truncation().where() == GatherResult.Truncation.Where.DEADLINE,
                    result.toString());
        }
        if (!plays.contains(Play.PartBehavior.FAILS_ONCE)) {
            assertEquals(parts, play.asks, "asked again without being told so");
        }
        List<List<String>> plain = texts(sample.sorted(sample.all()));
        int at = 0;
        for (List<String> row : play.rows) { // in order, and nothing twice
            while (at < plain.size() && !plain.get(at).equals(row)) {
                at++;
            }
            assertNotEquals(plain.size(), at++, "a row that does not follow");
        }
        for (GatherPart part : play.parts) {
            PartStatus status = result.notes().get(part.number()).status();
            if (plays.get(part.number()) == Play.PartBehavior.WHOLE
                    && play.positions[part.number()] < plan.minPosition()) {
                assertNotEquals(PartStatus.WHOLE, status);
            }
        }
    }
}
