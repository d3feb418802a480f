package clayhook.scattergather;

import static clayhook.scattergather.GatherResult.Outcome.COMPLETE;
import static clayhook.scattergather.GatherResult.Outcome.FAILED;
import static clayhook.scattergather.GatherResult.Outcome.PARTIAL;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.scattergather.Duplicates.Rule;
import clayhook.scattergather.GatherResult.PartStatus;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the state machine of a gather step by step, and its faults. */
class GatherTest {
    private static final List<Column> COLUMNS = List.of(Column.of("k", 20), Column.of("v", 25));
    private static final GatherPlan SORTED = GatherPlan.of(MergeSpec.by(SortKey.ascending("k")));

    private final List<String> events = new ArrayList<>();
    private final List<GatherPart> parts =
            List.of(new GatherPart("a", 0), new GatherPart("b", 1), new GatherPart("c", 2));
    private GatherResult result;

    private Gather gather(GatherPlan plan, MemoryPool memoryPool) {
        var gather = new Gather(plan, parts, memoryPool, new GatherActions() {
            @Override
            public void ask(GatherPart part) {
                events.add("ask " + part);
            }

            @Override
            public void recall(GatherPart part) {
                events.add("recall " + part);
            }

            @Override
            public void credit(GatherPart part, int rows) {}

            @Override
            public void columns(List<Column> columns) {}

            @Override
            public void emit(byte[] row) {
                events.add(String.join(" ", RowSet.values(row)));
            }

            @Override
            public void finish(GatherResult end) {
                result = end;
            }
        });
        gather.begin(0, 10);
        gather.request(100);
        return gather;
    }

    private Gather gather(GatherPlan plan) {
        return gather(plan, MemoryPool.of(1 << 30));
    }

    private void sendWholePart(Gather gather, int part, double position, String... keys) {
        gather.described(parts.get(part), COLUMNS);
        for (String key : keys) {
            gather.row(parts.get(part), RowSet.message(List.of(key, "of " + parts.get(part))));
        }
        gather.ended(parts.get(part), position);
    }

    /** A fault in part b names the part and the row; rows of the part are not merged. */
    @ParameterizedTest
    @CsvSource({
        "UNREADABLE, 2",
        "WIDTH, 2",
        "MIXED, 0",
        "UNORDERED, 2",
        "ENDLESS, 4",
        "OVERRUN, 2",
        "TOO_LONG, 2",
        "UNFIT, 0",
        "FULL, 2"
    })
    void faultsNamePartAndRow(GatherFault.Kind kind, long row) {
        var bufferLimits = new BufferLimits(
                kind == GatherFault.Kind.OVERRUN ? 1 : 256,
                1 << 20,
                200,
                kind == GatherFault.Kind.ENDLESS ? 3 : 1000,
                kind == GatherFault.Kind.FULL ? 1 : 1000,
                1 << 20);
        Gather gather = gather((kind == GatherFault.Kind.FULL
                        ? GatherPlan.of(MergeSpec.by(SortKey.ascending("k")).unsorted())
                        : SORTED)
                .bufferLimits(bufferLimits));
        GatherPart b = parts.get(1);
        if (kind != GatherFault.Kind.UNFIT) {
            gather.described(parts.get(0), COLUMNS);
        }
        gather.described(
                b,
                kind == GatherFault.Kind.MIXED
                        ? List.of(COLUMNS.get(0), Column.of("v", 23))
                        : kind == GatherFault.Kind.UNFIT ? List.of(Column.of("x", 20)) : COLUMNS);
        if (row > 0) {
            gather.row(b, RowSet.message(List.of("5", "first")));
            String key = kind == GatherFault.Kind.UNREADABLE ? "six" : kind == GatherFault.Kind.UNORDERED ? "4" : "6";
            String value = kind == GatherFault.Kind.TOO_LONG ? "x".repeat(200) : "";
            gather.row(b, RowSet.message(kind == GatherFault.Kind.WIDTH ? List.of(key) : List.of(key, value)));
            gather.row(b, RowSet.message(List.of("7", "")));
            gather.row(b, RowSet.message(List.of("8", "")));
        }
        sendWholePart(gather, 0, 1, "1");
        sendWholePart(gather, 2, 1, "9");
        GatherFault fault = kind == GatherFault.Kind.FULL
                ? result.fault()
                : result.notes().get(1).fault();
        assertEquals(kind, fault.kind());
        assertEquals(b, fault.part());
        assertEquals(row, fault.row());
        assertTrue(
                fault.toString().startsWith("part b: " + (row == 0 ? "its columns: " : "row " + row + ": ")),
                fault.toString());
        assertEquals(kind == GatherFault.Kind.FULL ? FAILED : PARTIAL, result.outcome());
        assertEquals(
                kind == GatherFault.Kind.FULL ? 0 : 2, result.rows(), "rows of the faulty part must not be merged");
        assertTrue(events.contains("recall b"));
    }

    @Test
    void recallsRemainingPartsWhenLimitIsReached() {
        Gather gather =
                gather(GatherPlan.of(MergeSpec.by(SortKey.ascending("k")).limit(Limit.rows(2))));
        sendWholePart(gather, 0, 1, "1", "2");
        gather.described(parts.get(1), COLUMNS);
        gather.row(parts.get(1), RowSet.message(List.of("1", "of b")));
        gather.failed(parts.get(1), "gone", true); // none of its rows has been emitted
        gather.described(parts.get(1), COLUMNS);
        gather.row(parts.get(1), RowSet.message(List.of("1", "again")));
        sendWholePart(gather, 2, 1, "4");
        assertEquals(List.of("ask a", "ask b", "ask c", "ask b", "1 of a", "1 again", "recall b", "recall c"), events);
        assertEquals(COMPLETE, result.outcome());
        assertEquals(1, gather.ignoredEvents(), "the end of c");
    }

    /**
     * A part that fails after its rows have been emitted is not asked again. Its rows are kept, and the result names it
     * as incomplete.
     */
    @Test
    void reportsPartThatFailsDuringMergeAsCut() {
        Gather gather = gather(SORTED);
        sendWholePart(gather, 0, 7, "1", "8");
        sendWholePart(gather, 1, 5, "2");
        gather.described(parts.get(2), COLUMNS);
        gather.row(parts.get(2), RowSet.message(List.of("0", "of c")));
        gather.failed(parts.get(2), "reset", true);
        assertEquals(List.of("0 of c", "1 of a", "2 of b", "8 of a"), events.subList(3, 7));
        assertEquals(List.of(parts.get(2)), result.parts(PartStatus.CUT));
        assertEquals("partial: c cut (reset)", result.toString());
    }

    @ParameterizedTest
    @EnumSource(PartStatus.class)
    void reportsStatusOfEachPart(PartStatus status) {
        GatherPlan plan = SORTED.partTimeout(2)
                .minPosition(5)
                .completion(status == PartStatus.SPARE ? new CompletionPolicy.Quorum(2) : new CompletionPolicy.Best());
        Gather gather = gather(plan);
        gather.described(parts.get(2), COLUMNS);
        if (status == PartStatus.CUT) {
            gather.row(parts.get(2), RowSet.message(List.of("0", "of c")));
        } else if (status == PartStatus.MISSING) {
            gather.failed(parts.get(2), "refused", false);
        } else if (status == PartStatus.WHOLE || status == PartStatus.OLD) {
            gather.ended(parts.get(2), status == PartStatus.OLD ? 4.9 : 5);
        }
        assertEquals(2, gather.tick(0.5));
        sendWholePart(gather, 0, 8, "1");
        sendWholePart(gather, 1, 6, "2");
        gather.tick(2);
        assertEquals(status, result.notes().get(2).status());
        assertEquals(status == PartStatus.WHOLE || status == PartStatus.SPARE ? COMPLETE : PARTIAL, result.outcome());
        assertTrue(result.usable());
        assertEquals(
                switch (status) {
                    case OLD -> 4.9;
                    case WHOLE -> 5;
                    case CUT -> Double.NEGATIVE_INFINITY;
                    case SPARE, MISSING, LATE -> 6;
                },
                result.position());
    }

    /**
     * An incomplete part would make aggregates wrong, so it is left out of groups; without groups, its rows are correct
     * and are kept.
     */
    @ParameterizedTest
    @CsvSource({"true, MISSING, 1", "false, CUT, 3"})
    void excludesFailedPartFromGroupsButKeepsItsRows(boolean grouped, PartStatus status, int rows) {
        MergeSpec spec =
                MergeSpec.by().grouped(grouped ? new Grouping(List.of(), List.of(Aggregate.count("n"))) : null);
        Gather gather = gather(GatherPlan.of(
                grouped ? spec : MergeSpec.by(SortKey.ascending("k")).unsorted()));
        sendWholePart(gather, 0, 1, "1");
        sendWholePart(gather, 1, 1, "2");
        gather.described(parts.get(2), COLUMNS);
        gather.row(parts.get(2), RowSet.message(List.of("0", "of c")));
        gather.failed(parts.get(2), "reset", false);
        assertEquals(List.of(parts.get(2)), result.parts(status));
        assertEquals(rows, result.rows());
        assertEquals(grouped ? "2" : "2 of b", events.get(events.size() - 1));
    }

    /** If a partial answer is an error, the gather does not wait for the remaining parts. */
    @Test
    void endsAtOnceWhenQuorumIsImpossible() {
        Gather gather = gather(SORTED.wholeOrError().completion(new CompletionPolicy.Quorum(2)));
        gather.failed(parts.get(0), "gone", false);
        assertEquals(null, result);
        gather.failed(parts.get(1), "gone", false);
        assertEquals(PARTIAL, result.outcome());
        assertEquals("recall c", events.get(events.size() - 1));
    }

    /** The time limit of a part only runs while the part has credit. */
    @Test
    void countsPartTimeOnlyWhileRowsAreRequested() {
        Gather gather =
                gather(SORTED.partTimeout(2).bufferLimits(new BufferLimits(1, 1 << 20, 1000, 1000, 1000, 1000)));
        for (GatherPart part : parts) {
            gather.described(part, COLUMNS);
        }
        gather.row(parts.get(0), RowSet.message(List.of("5", "of a")));
        gather.row(parts.get(1), RowSet.message(List.of("6", "of b")));
        assertEquals(2, gather.tick(1));
        // c had credit for two seconds; a only until the first tick, as its row counts as received before that tick
        gather.tick(2);
        gather.ended(parts.get(0), 1);
        gather.tick(3.5);
        gather.ended(parts.get(1), 1);
        assertEquals(List.of(parts.get(2)), result.parts(PartStatus.LATE));
        assertEquals(2, result.parts(PartStatus.WHOLE).size());
    }

    @Test
    void failsWithoutAskingPartsWhenMemoryIsShort() {
        gather(SORTED, MemoryPool.of(1000));
        assertEquals(FAILED, result.outcome());
        assertEquals(List.of(), events);
    }

    @Test
    void rejectsCallFromAction() {
        var held = new Gather[1];
        held[0] = new Gather(SORTED, List.of(), MemoryPool.of(0), new GatherActions() {
            @Override
            public void ask(GatherPart part) {}

            @Override
            public void recall(GatherPart part) {}

            @Override
            public void credit(GatherPart part, int rows) {}

            @Override
            public void columns(List<Column> columns) {}

            @Override
            public void emit(byte[] row) {}

            @Override
            public void finish(GatherResult end) {
                held[0].begin(1, 2);
            }
        });
        assertThrows(IllegalStateException.class, () -> held[0].begin(0, 1));
    }

    /**
     * In-doubt charges as listed by several routers: sorted by time, one row for each key, definite outcomes preferred
     * over unknown ones, conflicts shown, and unreachable routers named.
     */
    @Test
    void mergesInDoubtChargesOfAllRouters() {
        List<Column> columns = List.of(
                Column.of("charge", 25), Column.of("at", 1184), Column.of("outcome", 25), Column.of("node", 25));
        String early = "2026-03-01 10:00:00+00";
        String late = "2026-03-01 12:00:00.5+01";
        RowSet a = RowSet.table(
                columns,
                List.of(
                        Arrays.asList("k1", late, "unknown", null),
                        Arrays.asList("k2", early, "run", "n1"),
                        Arrays.asList("k3", early, "unknown", null)));
        RowSet b = RowSet.table(
                columns,
                List.of(Arrays.asList("k1", late, "not run", "n2"), Arrays.asList("k2", early, "not run", "n2")));
        var duplicates = new Duplicates(
                List.of("charge"),
                List.of(new Rule.Ranking("outcome", List.of(Set.of("run", "not run"), Set.of("unknown")), "conflict")),
                true);
        GatherPlan plan = GatherPlan.of(MergeSpec.by(SortKey.ascending("at"), SortKey.ascending("charge"))
                .unsorted()
                .deduplicating(duplicates));
        RowSet.Answer answer = RowSet.gather(
                plan,
                List.of(
                        new RowSet.PartRows(parts.get(0), a, "", 3),
                        new RowSet.PartRows(parts.get(1), b, "", 2),
                        new RowSet.PartRows(parts.get(2), null, "not heard for 12 s", 0)),
                MemoryPool.of(1 << 20));
        assertEquals(
                List.of(
                        Arrays.asList("k2", early, "conflict", "n1"),
                        Arrays.asList("k3", early, "unknown", null),
                        List.of("k1", late, "not run", "n2")),
                answer.rows().stream().map(RowSet::values).toList());
        assertEquals(1, answer.result().conflicts());
        assertEquals("partial: c missing (not heard for 12 s)", answer.result().toString());
        assertEquals(2, answer.result().position());
        assertEquals(columns, answer.columns());
    }
}
