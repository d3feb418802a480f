package clayhook.statements;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import clayhook.statements.TokenBuffer.Kind;
import java.io.IOException;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Properties of all statements, checked on variations of the corpus and on random input. */
class ShapePropertiesTest {
    private static final List<CorpusTest.Case> CORPUS = corpus();
    private final Classifier classifier = new Classifier(StatementRules.DEFAULT, 7);
    private final Lexer lexer = new Lexer(true);
    private final TokenBuffer tokens = new TokenBuffer();

    private static List<CorpusTest.Case> corpus() {
        try {
            return CorpusTest.corpus();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Provide
    Arbitrary<CorpusTest.Case> statements() {
        return Arbitraries.of(CORPUS);
    }

    private Classification classify(String text) {
        classifier.beginTick();
        return classifier.classify(text.getBytes(UTF_8), ClientIdentity.UNKNOWN);
    }

    private static final String[] LITERALS = {
        "1",
        "0.5",
        ".5e3",
        "'x'",
        "''''",
        "'-- a'",
        "'/*'",
        "E'\\''",
        "$$;$$",
        "$a$'$a$",
        "B'1'",
        "X'ff'",
        "N'x'",
        "U&'\\0061'",
        "$1",
        "'delete from t'",
        "'nextval(1)'",
        "'\\'",
        "'ä'",
        "''"
    };
    private static final String[] SPACES = {" ", "\n", "\t \r\n", " /* a */ ", "/* /* ' */ \" */", " -- '\n", "\f"};

    @Property(tries = 3000, seed = "42")
    void literalsSpacesAndCaseDoNotAffectShapeOrVerdict(
            @ForAll("statements") CorpusTest.Case given, @ForAll long seed) {
        var random = new Random(seed);
        lexer.lex(given.bytes(), tokens);
        if (tokens.error != null) {
            return;
        }
        var text = new StringBuilder();
        for (int i = 0; i < tokens.size; i++) {
            if (tokens.kinds[i] == Kind.LITERAL && i > 0 && tokens.kinds[i - 1] == Kind.LITERAL) {
                return; // white space between two strings may join them
            }
            String token = new String(given.bytes(), tokens.starts[i], tokens.ends[i] - tokens.starts[i], UTF_8);
            text.append(
                    tokens.kinds[i] == Kind.LITERAL
                            ? LITERALS[random.nextInt(LITERALS.length)]
                            : tokens.kinds[i] == Kind.WORD && random.nextBoolean()
                                    ? token.toUpperCase(java.util.Locale.ROOT)
                                    : token);
            text.append(SPACES[random.nextInt(SPACES.length)]);
        }
        Classification one = classify(given.text());
        Classification other = classify(text.toString());
        assertEquals(one.verdict(), other.verdict(), text::toString);
        assertEquals(one.fingerprint(), other.fingerprint(), text::toString);
    }

    @Property(tries = 2000, seed = "42")
    void listLengthDoesNotAffectShape(@ForAll long seed) {
        var random = new Random(seed);
        var text = new StringBuilder("insert into t (a, b) values ");
        for (int row = random.nextInt(5); row >= 0; row--) {
            text.append('(')
                    .append(random.nextInt(2) == 0 ? "-" : "")
                    .append(random.nextInt(99))
                    .append(", ")
                    .append(random.nextBoolean() ? "NULL" : "'x'")
                    .append(row > 0 ? "), " : ")");
        }
        assertEquals(
                classify("insert into t (a, b) values (1, 2)").fingerprint(),
                classify(text.toString()).fingerprint());
    }

    private static final String[] PIECES = {
        "select", "insert", "into", "delete", "from", "update", "set", "with", "as", "(", ")", "(", ")", ",", ";", "'",
        "''", "\"", "$$", "$a$", "/*", "*/", "--", "\n", "E'", "U&\"", "\\", "1", "x", "t", "*", "=", "::", ":", "[",
        "]", ".", "for", "case", "when", "then", "end", "not", "-", "+", "in", "explain", "analyze", "over", "\0", "ä",
        "$1", "values", "union", "all", "order", "by", "limit", "between", "and", "array", "row", "exists", "join",
        "on", "null"
    };

    @Property(tries = 4000, seed = "42")
    void randomTokensNeitherThrowNorHang(@ForAll long seed) {
        var random = new Random(seed);
        var text = new StringBuilder(
                random.nextBoolean() ? CORPUS.get(random.nextInt(CORPUS.size())).text() : "");
        for (int i = random.nextInt(40); i >= 0; i--) {
            int at = random.nextInt(text.length() + 1);
            text.insert(at, PIECES[random.nextInt(PIECES.length)] + (random.nextBoolean() ? " " : ""));
        }
        classify(text.toString());
    }

    @Property(tries = 2000, seed = "42")
    void arbitraryBytesNeitherThrowNorHang(@ForAll byte[] bytes) {
        classifier.beginTick();
        classifier.classify(bytes, ClientIdentity.UNKNOWN);
    }

    /** A wrong end of a string would let its content act as SQL: each string is one token, whatever its content. */
    @Property(tries = 3000, seed = "42")
    void lexerFindsEndOfEachString(@ForAll String inner, @ForAll long seed) {
        String plain = inner.replace("\0", "");
        String tag = "$t" + Math.floorMod(seed, 10) + "$";
        String[] forms = {
            "'" + plain.replace("'", "''") + "'",
            "E'" + plain.replace("\\", "\\\\").replace("'", seed % 2 == 0 ? "''" : "\\'") + "'",
            tag + plain.replace("$", "") + tag,
            "\"x" + plain.replace("\"", "\"\"") + "\""
        };
        for (String form : forms) {
            lexer.lex((form + ",b").getBytes(UTF_8), tokens);
            assertNull(tokens.error);
            assertEquals(3, tokens.size, form);
            assertEquals(form.getBytes(UTF_8).length, tokens.ends[0], form);
        }
    }
}
