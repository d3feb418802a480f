package clayhook.scattergather;

import static clayhook.scattergather.GatherResult.Outcome.COMPLETE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.scattergather.GatherResult.PartStatus;
import clayhook.scattergather.RandomParts.Line;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** For any order of events, the answer matches the reference implementation, and the claims of the result hold. */
class MergePropertiesTest {
    /** Tight limits, so that credit and the memory limit take effect. */
    private static final BufferLimits TIGHT = new BufferLimits(3, 1000, 200, 1000, 500, 1 << 20);

    private static List<List<String>> texts(List<Line> lines) {
        return lines.stream().map(Line::texts).toList();
    }

    private static <T> List<T> first(long maxRows, List<T> list) {
        return list.subList(0, (int) Math.min(maxRows, list.size()));
    }

    @Property(tries = 1500, seed = "42")
    void matchesReferenceAnswer(
            @ForAll long seed,
            @ForAll @IntRange(max = 5) int parts,
            @ForAll @IntRange(max = 25) int rows,
            @ForAll boolean sorted,
            @ForAll @IntRange(max = 2) int copies,
            @ForAll boolean hasLimit) {
        RandomParts sample = new RandomParts(seed, parts, rows).numberRows(sorted);
        Duplicates duplicates = copies == 0 ? null : sample.duplicates(copies == 1);
        Limit limit = hasLimit ? Limit.rows(sample.random.nextInt(12)) : Limit.NONE;
        var spec = new MergeSpec(sample.keys, sorted, duplicates, null, limit);
        GatherDriver driver = new GatherDriver(
                seed, GatherPlan.of(spec).bufferLimits(TIGHT), RandomParts.COLUMNS, GatherDriver.texts(sample));
        List<Line> lines =
                duplicates == null ? sample.all() : sample.distinct(duplicates, part -> driver.positions[part]);
        GatherResult result = driver.run();
        assertEquals(texts(first(limit.rows(), sample.sorted(lines))), driver.rows);
        assertEquals(COMPLETE, result.outcome());
        assertTrue(result.truncation().exact() && result.usable());
        assertEquals(driver.rows.size(), result.rows());
    }

    /** The byte limit ends the answer before the first row that exceeds it. */
    @Property(tries = 200, seed = "42")
    void byteLimitEmitsPrefix(@ForAll long seed, @ForAll @IntRange(max = 2000) int bytes) {
        RandomParts sample = new RandomParts(seed, 3, 10).numberRows(true);
        Limit limit = new Limit(Long.MAX_VALUE, bytes, Long.MAX_VALUE);
        GatherDriver driver = new GatherDriver(
                seed,
                GatherPlan.of(new MergeSpec(sample.keys, true, null, null, limit)),
                RandomParts.COLUMNS,
                GatherDriver.texts(sample));
        GatherResult result = driver.run();
        List<List<String>> whole = texts(sample.sorted(sample.all()));
        long sum = 0;
        int fit = 0;
        while (fit < whole.size() && (sum += RowSet.message(whole.get(fit)).length) <= bytes) {
            fit++;
        }
        assertEquals(first(fit, whole), driver.rows);
        assertEquals(
                fit < whole.size() ? GatherResult.Truncation.Where.BYTES : GatherResult.Truncation.Where.NONE,
                result.truncation().where());
    }

    /**
     * Parts return only their first rows. An answer reported as exact must be the first rows of the whole answer. A
     * part reported as possibly having more must be one whose next row, equal to its last, would change the answer.
     * Both are checked by brute force.
     */
    @Property(tries = 1500, seed = "42")
    void exactAnswerMatchesReferencePrefix(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 4) int parts,
            @ForAll @IntRange(min = 1, max = 6) int depth,
            @ForAll @IntRange(min = 1, max = 12) int maxRows,
            @ForAll @IntRange(max = 2) int copies) {
        RandomParts sample = new RandomParts(seed, parts, 10).numberRows(true);
        Duplicates duplicates = copies == 0 ? null : sample.duplicates(copies == 1);
        Limit limit = Limit.rows(maxRows).depth(depth);
        var sentRows = new ArrayList<List<List<String>>>();
        boolean limited = sample.random.nextBoolean(); // limited by the node or by the gather
        for (List<Line> lines : sample.parts) {
            sentRows.add(texts(limited ? first(depth, lines) : lines));
        }
        var spec = new MergeSpec(sample.keys, true, duplicates, null, limit);
        GatherDriver driver =
                new GatherDriver(seed, GatherPlan.of(spec).bufferLimits(TIGHT), RandomParts.COLUMNS, sentRows);
        GatherResult result = driver.run();
        if (result.truncation().exact()) {
            List<Line> whole =
                    duplicates == null ? sample.all() : sample.distinct(duplicates, part -> driver.positions[part]);
            assertEquals(texts(first(maxRows, sample.sorted(whole))), driver.rows);
        }
        assertEquals(
                result.truncation().exact(), result.truncation().partsWithMore().isEmpty());
        assertEquals(result.truncation().partsWithMore(), result.parts(PartStatus.CUT));
        for (GatherPart part : duplicates == null ? driver.parts : List.<GatherPart>of()) {
            assertEquals(
                    result.truncation().partsWithMore().contains(part),
                    extraRowChangesAnswer(sample, part.number(), depth, maxRows),
                    part.name());
        }
    }

    private static boolean extraRowChangesAnswer(RandomParts sample, int part, int depth, int maxRows) {
        if (sample.parts.get(part).size() < depth) {
            return false; // the part reached its end
        }
        var lines = new ArrayList<Line>();
        sample.parts.forEach(all -> lines.addAll(first(depth, all)));
        List<Line> before = first(maxRows, sample.sorted(lines));
        lines.add(
                new Line(part, depth + 1, sample.parts.get(part).get(depth - 1).values()));
        return !before.equals(first(maxRows, sample.sorted(lines)));
    }

    /** Parts stall, fail, are asked again or are too old, under each completion policy. */
    @Property(tries = 3000, seed = "42")
    void givesOneAnswerByDeadlineDespiteFailures(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 5) int parts,
            @ForAll @IntRange(max = 2) int policy,
            @ForAll boolean sorted,
            @ForAll boolean allowPartial,
            @ForAll boolean hasLimit) {
        RandomParts sample = new RandomParts(seed, parts, 12).numberRows(true);
        var random = new Random(seed);
        int quorum = 1 + random.nextInt(parts);
        Limit limit = hasLimit ? Limit.rows(random.nextInt(9)) : Limit.NONE;
        GatherPlan plan = GatherPlan.of(new MergeSpec(sample.keys, sorted, null, null, limit))
                .bufferLimits(TIGHT)
                .partTimeout(1 + random.nextInt(9))
                .completion(
                        policy == 0
                                ? new CompletionPolicy.All()
                                : policy == 1 ? new CompletionPolicy.Quorum(quorum) : new CompletionPolicy.Best())
                .minPosition(random.nextBoolean() ? 1 : Double.NEGATIVE_INFINITY);
        GatherDriver driver = new GatherDriver(
                seed, allowPartial ? plan : plan.wholeOrError(), RandomParts.COLUMNS, GatherDriver.texts(sample));
        var behaviors = new ArrayList<GatherDriver.PartBehavior>();
        for (int i = 0; i < parts; i++) {
            driver.behaviors.set(i, GatherDriver.PartBehavior.values()[random.nextBoolean() ? 0 : random.nextInt(4)]);
            behaviors.add(driver.behaviors.get(i));
        }
        GatherResult result = driver.run();
        assertEquals(parts, result.notes().size());
        List<GatherPart> whole = result.parts(PartStatus.WHOLE);
        int needed = policy == 1 ? quorum : parts;
        if (result.outcome() == COMPLETE) {
            assertTrue(whole.size() >= needed && result.usable());
            List<Line> used = sample.all().stream()
                    .filter(line -> whole.contains(driver.parts.get(line.part())))
                    .toList();
            assertEquals(texts(first(limit.rows(), sample.sorted(used))), driver.rows);
            assertFalse(result.position() < plan.minPosition());
        } else {
            assertTrue(
                    whole.size() < needed || result.truncation().where() == GatherResult.Truncation.Where.DEADLINE,
                    result.toString());
        }
        if (!behaviors.contains(GatherDriver.PartBehavior.FAILS_ONCE)) {
            assertEquals(parts, driver.askCount, "part asked again although no retry was allowed");
        }
        List<List<String>> reference = texts(sample.sorted(sample.all()));
        int at = 0;
        for (List<String> row : driver.rows) { // rows are in order and none is repeated
            while (at < reference.size() && !reference.get(at).equals(row)) {
                at++;
            }
            assertNotEquals(reference.size(), at++, "row out of order or duplicated");
        }
        for (GatherPart part : driver.parts) {
            PartStatus status = result.notes().get(part.number()).status();
            if (behaviors.get(part.number()) == GatherDriver.PartBehavior.WHOLE
                    && driver.positions[part.number()] < plan.minPosition()) {
                assertNotEquals(PartStatus.WHOLE, status);
            }
        }
    }
}
