package clayhook.statements;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.statements.Rule.Placement;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ClassifierTest {
    private static final StatementRules DEFAULT_RULES = StatementRules.DEFAULT;

    private static StatementRules rules(long cacheBytes, int budget, boolean refuse, Rule... rules) {
        return new StatementRules(
                true,
                Set.of("my_read"),
                Set.of("my_write"),
                Set.of("upper", "hidden"),
                Set.of("my_type"),
                Set.of("v_next"),
                cacheBytes,
                budget,
                refuse,
                List.of(rules),
                "read",
                "write",
                1);
    }

    private static Rule rule(
            StatementEffect verdict,
            Set<String> relations,
            String application,
            double costFrom,
            String mark,
            Placement nodes) {
        return new Rule(
                "r",
                verdict,
                Set.of(),
                relations,
                Set.of(),
                Set.of(),
                null,
                null,
                null,
                application == null ? null : Rule.glob(application),
                costFrom,
                Double.POSITIVE_INFINITY,
                "special",
                2,
                mark,
                nodes);
    }

    private static Classification classify(Classifier classifier, String text) {
        classifier.beginTick();
        return classifier.classify(text.getBytes(UTF_8), ClientIdentity.UNKNOWN);
    }

    private static Classification classify(StatementRules rules, String text) {
        return classify(new Classifier(rules, 1), text);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "READ|select my_read(1)",
                "WRITE|select other.my_read(1)",
                "READ|select 'x'::my_type",
                "WRITE|select upper(a) from t",
                "READ|select pg_catalog.upper(a) from t",
                "WRITE|select t.hidden from t",
                "WRITE|select (t).hidden from t",
                "READ|select a as hidden from t",
                "WRITE|select * from v_next",
                "WRITE|select 1 from public.v_next",
                "WRITE|with v_next as (select 1) select * from v_next"
            })
    void appliesOperatorListsOfDatabaseObjects(StatementEffect verdict, String text) {
        assertEquals(verdict, classify(rules(1 << 20, 2000, false), text).verdict());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "true|select other(1)",
                "false|select my_write(1)",
                "false|insert into t values (1)",
                "true|do 'x'",
                "true|call p()",
                "true|select 1; select 2",
                "true|insert into t select other()",
                "true|create table t ()"
            })
    void marksStatementsThatMayChangeSessionState(boolean opaque, String text) {
        assertEquals(opaque, classify(rules(1 << 20, 2000, false), text).mayChangeSession());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"READ|select '\\'", "WRITE|select '\\' , nextval(1) --'"})
    void treatsBackslashAsOrdinaryOnlyInStandardConformingStrings(StatementEffect verdict, String text) {
        assertEquals(verdict, classify(DEFAULT_RULES, text).verdict());
        var other = new StatementRules(
                false, Set.of(), Set.of(), Set.of(), Set.of(), Set.of(), 1 << 20, 2000, false, List.of(), "read",
                "write", 1);
        // Without standard_conforming_strings, the quote after the backslash is part of the string.
        assertEquals(
                verdict == StatementEffect.READ ? StatementEffect.WRITE : StatementEffect.READ,
                classify(other, text).verdict());
    }

    // ---- limits ----

    private static String nested(String open, String inner, String close) {
        return "select " + open.repeat(10_000) + inner + close.repeat(10_000);
    }

    @Test
    void classifiesDeepAndLongStatementsOnSmallStack() throws Exception {
        var done = new CompletableFuture<Void>();
        new Thread(
                        null,
                        () -> {
                            try {
                                var classifier = new Classifier(DEFAULT_RULES, 1);
                                for (String text : List.of(
                                        nested("(", "1", ")"),
                                        nested("(select ", "1", ")"),
                                        nested("not ", "a", ""),
                                        nested("- ", "a", ""),
                                        nested("case when a then ", "1", " end"),
                                        nested("array[", "1", "]"),
                                        nested("/*", "", "*/") + "1",
                                        nested("a + ", "1", ""),
                                        nested("a.", "b", ""),
                                        nested("f(", "1", ")"),
                                        nested("a and not b or ", "c", ""),
                                        nested("1 union select ", "1", ""),
                                        "x ".repeat(500_000),
                                        "select '" + "x".repeat(1 << 20) + "'",
                                        "(".repeat(1 << 20),
                                        "select 1" + ",1".repeat(1 << 18))) {
                                    classify(classifier, text);
                                }
                                for (int depth = 1; depth < 60; depth++) {
                                    String text = "select " + "(select a from t where exists (".repeat(depth)
                                            + "select 1" + "))".repeat(depth);
                                    assertEquals(
                                            depth <= 20 ? StatementEffect.READ : StatementEffect.WRITE,
                                            classify(classifier, text).verdict(),
                                            text);
                                }
                                assertEquals(
                                        StatementEffect.READ,
                                        classify(classifier, "select 1 where 1 in (0" + ", 1".repeat(1 << 18) + ")")
                                                .verdict());
                                done.complete(null);
                            } catch (Throwable e) {
                                done.completeExceptionally(e);
                            }
                        },
                        "small",
                        512 << 10)
                .start();
        done.get();
    }

    @Test
    void floodOfUniqueShapesDoesNotEvictRepeatedShapes() {
        var classifier = new Classifier(rules(200_000, 2000, false), 1);
        var random = new Random(1);
        int expectedHits = 0;
        for (int i = 0; i < 40_000; i++) {
            if (i % 20 == 0) {
                classify(classifier, "select a from t where hot" + i / 20 % 50 + " = 1");
                expectedHits++;
            } else {
                classify(classifier, "select a from t where once" + random.nextLong() + " = 1");
            }
            if (i == 20_000) {
                classifier.counts();
                expectedHits = 0;
            }
        }
        long hits = classifier.counts().hits();
        assertTrue(hits > 0.9 * expectedHits, hits + " of " + expectedHits);
        assertTrue(classifier.weight() <= 200_000);
    }

    /** Rules that differ in one function, which changes nothing or may write. */
    private static StatementRules rulesFor(boolean harmless) {
        return new StatementRules(
                true,
                harmless ? Set.of("receipt") : Set.of(),
                Set.of(),
                Set.of(),
                Set.of(),
                Set.of(),
                1 << 20,
                2000,
                false,
                List.of(),
                "read",
                "write",
                1);
    }

    /**
     * Guards against a shape that keeps the class of earlier rules after a reload, so that a call that may write is
     * sent to replicas and repeated: its statements that were in flight during the reload were answered after it.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void answersToStatementsClassifiedByEarlierRulesAreNotRecorded(boolean wasHarmless) {
        var earlier = new Classifier(rulesFor(wasHarmless), 1);
        var current = new Classifier(rulesFor(!wasHarmless), 1);
        Classification inFlight = classify(earlier, "select receipt(1)");
        for (int i = 0; i < 3; i++) {
            current.recordServiceTime(inFlight, 5);
        }
        assertFalse(current.isCurrent(inFlight));
        Classification later = classify(current, "select receipt(2)");
        assertEquals(wasHarmless ? StatementEffect.WRITE : StatementEffect.READ, later.verdict());
        assertTrue(later.cost() < 1, "the cost was measured by earlier rules");
    }

    /** Guards against a statement that the current rules take for a read although a node has refused to read by it. */
    @Test
    void refusalOfStatementClassifiedByEarlierRulesIsRecordedForTheCurrentOnes() {
        var earlier = new Classifier(rulesFor(true), 1);
        var current = new Classifier(rulesFor(true), 1);
        byte[] text = "select receipt(1)".getBytes(UTF_8);
        current.reclassifyAsWrite(classify(earlier, "select receipt(1)"), text, ClientIdentity.UNKNOWN);
        Classification later = classify(current, "select receipt(2)");
        assertEquals(StatementEffect.WRITE, later.verdict());
        assertTrue(current.isCurrent(later));
    }

    @Test
    void distinguishesShapesWithSameHash() {
        var shapes = new ShapeCache(1 << 20, (shape, length) -> 42);
        var shapeBuilder = new ShapeBuilder();
        var tokens = new TokenBuffer();
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < 200; i++) {
                new Lexer(true).lex(("select a" + i).getBytes(UTF_8), tokens);
                shapeBuilder.build(tokens);
                Shape found = shapes.get(shapeBuilder);
                assertEquals(round == 0 ? null : "select a" + i, found == null ? null : found.toString());
                if (round == 0) {
                    shapes.put(new Shape(
                            new RulesGeneration(),
                            ("select a" + i).getBytes(UTF_8),
                            "",
                            ShapeFacts.unanalyzed(StatementEffect.READ, "", "", false)));
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doesNotParseNewShapesOverTickBudget(boolean refuse) {
        var classifier = new Classifier(rules(1 << 20, 10, refuse), 1);
        assertEquals(
                StatementEffect.READ,
                classify(classifier, "select a from t where b = c and d = e and f = g")
                        .verdict());
        assertEquals(
                refuse ? StatementEffect.REFUSED : StatementEffect.WRITE,
                classifier
                        .classify("select 1".getBytes(UTF_8), ClientIdentity.UNKNOWN)
                        .verdict());
        assertEquals(
                StatementEffect.READ,
                classifier
                        .classify(
                                "select a from t where b = c and d = e and f = g".getBytes(UTF_8),
                                ClientIdentity.UNKNOWN)
                        .verdict());
        assertEquals(StatementEffect.READ, classify(classifier, "select 1").verdict());
        assertEquals(1, classifier.counts().overBudget());
    }

    // ---- cost and rules ----

    @Test
    void measuredServiceTimesReplaceEstimateAndExpire() {
        var classifier = new Classifier(DEFAULT_RULES, 1);
        String text = "select a from t where b = 1";
        double guess = classify(classifier, text).cost();
        for (int i = 0; i < 2000; i++) {
            classifier.recordServiceTime(classify(classifier, text), i < 1000 ? 0.5 : i % 10 == 0 ? 0.08 : 0.01);
        }
        Classification measured = classify(classifier, "select a from t where b = 2");
        assertTrue(guess < 0.01);
        assertEquals(0.017, measured.cost(), 0.002);
        assertEquals(0.08, measured.high(), 0.01);
        assertTrue(classify(classifier, "select a from t, u, v order by c").cost() > 5 * guess);
    }

    @Test
    void appliesFirstMatchingRule() {
        StatementRules rules = rules(
                1 << 20,
                2000,
                false,
                rule(StatementEffect.READ, Set.of("s.exact"), null, 0, null, null),
                rule(StatementEffect.READ, Set.of("plain"), "re*t", 0, null, new Placement(null, List.of(7))),
                rule(StatementEffect.READ, Set.of(), null, 0.02, null, new Placement(null, List.of(9))));
        var classifier = new Classifier(rules, 1);
        assertEquals("read default 1", describe(classify(classifier, "select 1 from exact where a = 1")));
        assertEquals("special r 1", describe(classify(classifier, "select 1 from s.exact where a = 1")));
        assertEquals("read default 1", describe(classify(classifier, "select 1 from two.plain where a = 1")));
        var client = new ClientIdentity("u", "d", "report");
        assertEquals(
                "special r 7",
                describe(classifier.classify("select 1 from two.plain where a = 1".getBytes(UTF_8), client)));
        assertEquals("special r 9", describe(classify(classifier, "select a from t, u order by 1")));
        assertEquals("write default 1", describe(classify(classifier, "delete from plain")));
    }

    private static String describe(Classification classed) {
        return classed.requestClass() + " " + classed.rule() + " " + classed.replicaSetId();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "k1|insert into posts (mark, b) values ('k1', 2)",
                "7|update posts set a = 1 where mark = 7",
                "|insert into posts (mark, b) values ('k1', 2), ('k2', 3)",
                "|insert into posts (mark) values (f())",
                "|insert into posts (b) values (1)",
                "|update posts set mark = 7",
                "|update posts set a = 1 where mark = 7 or b = 1",
                "|update posts set a = 1 where not mark = 7",
                "|update posts set a = 1 where c between 1 and mark = 7",
                "|update posts set a = 1 where mark = 7 is null",
                "|insert into posts (mark, b) values ('k1')",
                "a'b|insert into posts (b, mark) values (-1, 'a''b') on conflict do nothing"
            })
    void writeHasOutcomeKeyOnlyIfExactlyOneLiteral(String mark, String text) {
        Classification classed = classify(
                rules(1 << 20, 2000, false, rule(StatementEffect.WRITE, Set.of("posts"), null, 0, "mark", null)), text);
        assertEquals(mark, classed.outcomeKey());
        assertEquals(mark == null ? "write" : "special", classed.requestClass());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "select 1 from t where key = 5|select 1 from t as x where a > 1 and 5 = x.key",
                "select 1 from t where key = 5|insert into t (a, key) values ('x', 005), ('y', 5)",
                "select 1 from t where key = 'a'|delete from t where \"key\" = 'a' and b",
                "select 1 from t where key = 5|with c as (select 1) select 1 from t where key = '5'"
            })
    void sameKeySelectsSameReplicaSetInAllNotations(String one, String other) {
        StatementRules rules = rulesWithPlacement();
        assertEquals(StatementEffect.REFUSED, classify(rules, "select 1 from t").verdict());
        assertEquals(classify(rules, one).replicaSetId(), classify(rules, other).replicaSetId());
        assertTrue(classify(rules, one).replicaSetId() > 10);
    }

    private static StatementRules rulesWithPlacement() {
        var nodes = new Placement("key", List.of(11, 12, 13, 14, 15, 16, 17));
        return rules(
                1 << 20,
                2000,
                false,
                rule(StatementEffect.READ, Set.of("t"), null, 0, null, nodes),
                rule(StatementEffect.WRITE, Set.of("t"), null, 0, null, nodes));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "select 1 from t",
                "select 1 from t where key = f(5)",
                "select 1 from t where key = E'\\x'",
                "select 1 from t where key > 5",
                "select 1 from t where key = 5 or a = 1",
                "select 1 from t union select 1 from t where key = 5",
                "select 1 from (select * from t where key = 5) x",
                "insert into t (key, a) values (1, 1), (2, 1), (3, 1), (4, 1), (5, 1)",
                "insert into t (key, a) values (1, 1), (2)",
                "insert into t (key) select 5",
                "insert into t values (5)"
            })
    void refusesStatementWithUncertainKey(String text) {
        assertEquals(
                StatementEffect.REFUSED, classify(rulesWithPlacement(), text).verdict());
    }

    /**
     * Guards against rows that are read from the first one again for each row, which held up the router for seconds.
     */
    @Test
    void readsKeysOfManyRowsInTime() {
        var classifier = new Classifier(rulesWithPlacement(), 1);
        String row = "insert into t (key, a) values (1,1)";
        String rows = row + ",(1,1)".repeat((160 << 10) / ",(1,1)".length());
        Classification single = classify(classifier, row);
        Classification many = assertTimeoutPreemptively(Duration.ofMillis(150), () -> classify(classifier, rows));
        assertEquals(StatementEffect.WRITE, many.verdict());
        assertEquals(single.replicaSetId(), many.replicaSetId());
        assertEquals(
                StatementEffect.REFUSED, classify(classifier, rows + ",(2,1)").verdict());
        assertEquals(
                StatementEffect.REFUSED, classify(classifier, rows + ",(1)").verdict());
    }

    @Test
    void distributesKeysOverAllReplicaSets() {
        var classifier = new Classifier(rulesWithPlacement(), 1);
        long groups = java.util.stream.IntStream.range(0, 200)
                .mapToObj(i ->
                        classify(classifier, "select 1 from t where key = " + i).replicaSetId())
                .distinct()
                .count();
        assertEquals(7, groups);
    }

    @Test
    void globTreatsOnlyStarAsWildcard() {
        Pattern pattern = Rule.glob("a.*b*");
        assertTrue(pattern.matcher("a.xbc").matches());
        assertTrue(!pattern.matcher("axxb").matches());
        assertNotEquals(
                classify(DEFAULT_RULES, "select 1").fingerprint(),
                classify(DEFAULT_RULES, "select a").fingerprint());
        assertNull(classify(DEFAULT_RULES, "select '").shape());
    }
}
