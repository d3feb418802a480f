package clayhook.statements;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class CorpusTest {
    record Case(StatementEffect verdict, String text) {
        byte[] bytes() {
            return text.getBytes(UTF_8);
        }

        @Override
        public String toString() {
            return verdict + " " + text;
        }
    }

    static List<Case> corpus() throws IOException {
        try (var in = CorpusTest.class.getResourceAsStream("corpus.txt")) {
            return new String(in.readAllBytes(), UTF_8)
                    .lines()
                    .filter(line -> !line.startsWith("#"))
                    .map(line -> {
                        String[] parts = (line + " ").split(" ", 2);
                        return new Case(
                                StatementEffect.valueOf(parts[0].toUpperCase(Locale.ROOT)),
                                parts[1].replace("\\n", "\n").strip());
                    })
                    .toList();
        }
    }

    private static final Classifier CLASSIFIER = new Classifier(StatementRules.DEFAULT, 1);

    static Classification classify(String text) {
        CLASSIFIER.beginTick();
        return CLASSIFIER.classify(text.getBytes(UTF_8), ClientIdentity.UNKNOWN);
    }

    @ParameterizedTest
    @MethodSource("corpus")
    void classifiesEachStatementAsExpected(Case given) {
        assertEquals(given.verdict(), classify(given.text()).verdict(), () -> classify(given.text())
                .reason());
    }

    @Test
    void cachedAndFirstClassificationAgree() throws IOException {
        var classifier = new Classifier(StatementRules.DEFAULT, 1);
        for (int round = 0; round < 2; round++) {
            for (Case given : corpus()) {
                classifier.beginTick();
                assertEquals(
                        given.verdict(),
                        classifier
                                .classify(given.bytes(), ClientIdentity.UNKNOWN)
                                .verdict(),
                        given::text);
            }
        }
        assertTrue(classifier.counts().hits() > corpus().size() / 2);
    }

    /** A write inside any enclosing statement is not classified as a read. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/* a */ %s",
                "-- a\n%s",
                "(%s)",
                "with x as (%s) select 1",
                "select * from (%s) x",
                "select 1 where exists (%s)",
                "explain analyze %s",
                "explain (analyze) %s",
                "select (%s)",
                "values ((%s))",
                "select array(%s)",
                "select 1 union all %s",
                "select 1; %s",
                "%s; select 1",
                "select case when (%s) then 1 end",
                "with a as (with b as (%s) select 1) select 1",
                "select 1 from t where a in (%s) order by 1 limit 1",
                "explain with a as (%s) select 1",
                "select 'x' /* ' */ , (%s)",
                "select \"a\"\"b\", (%s)",
                "select $$'$$, (%s)"
            })
    void wrappedWriteIsNeverRead(String wrapping) throws IOException {
        for (Case given : corpus()) {
            if (given.verdict() == StatementEffect.WRITE && canBeEmbedded(given.text())) {
                String wrapped = wrapping.replace("%s", given.text());
                assertTrue(classify(wrapped).verdict() != StatementEffect.READ, wrapped);
            }
        }
    }

    /**
     * Whether the text can be embedded: it does not comment out what follows, and is no single word, which would be a
     * name.
     */
    private static boolean canBeEmbedded(String text) {
        var tokens = new TokenBuffer();
        new Lexer(true).lex(text.getBytes(UTF_8), tokens);
        return tokens.error == null && tokens.size > 1 && !text.contains("--");
    }
}
