package clayhook.statements;

import clayhook.statements.TokenBuffer.Kind;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.antlr.v4.runtime.misc.ParseCancellationException;
import org.antlr.v4.runtime.tree.ParseTreeWalker;

/**
 * Analyzes shapes: determines which effects the statements of a shape may have. A shape that cannot be parsed may have
 * any effect and is a write. Not thread-safe.
 */
final class ShapeAnalyzer {
    /**
     * The deepest nesting of brackets and CASE that is parsed. The parser uses about thirty stack frames per level;
     * statements written by hand have fewer levels.
     */
    private static final int MAX_DEPTH = 40;
    /**
     * The longest shape in tokens that is parsed, where a list of literals counts as one. Longer ones are generated.
     */
    static final int MAX_TOKENS = 4000;
    /**
     * The most rules of the grammar that the parser enters for one shape, which bounds its time and the parse tree in
     * memory. It is far above what a shape of {@link #MAX_TOKENS} needs, as long as each token needs a few rules.
     */
    static final int MAX_RULES = 20 * MAX_TOKENS;

    private static final Set<String> CHANGE_WORDS =
            Set.of("insert", "update", "delete", "merge", "into", "truncate", "create", "drop", "alter", "call");

    private final HarmlessNames harmlessNames;
    private final BoundedSqlParser parser;

    ShapeAnalyzer(HarmlessNames harmlessNames) {
        this(harmlessNames, MAX_RULES);
    }

    /** Creates an analyzer whose parser enters at most this many rules for one shape. */
    ShapeAnalyzer(HarmlessNames harmlessNames, int maxRules) {
        this.harmlessNames = harmlessNames;
        parser = new BoundedSqlParser(maxRules);
    }

    /**
     * Analyzes a shape; never fails.
     *
     * @param statement the tokens of a statement of this shape
     */
    ShapeFacts analyze(TokenBuffer shape, TokenBuffer statement) {
        if (shape.size == 0) {
            return ShapeFacts.unanalyzed(StatementEffect.READ, "nothing to do", "", false);
        }
        ShapeFacts refusal = UnsupportedStatements.refuse(statement);
        if (refusal != null) {
            return refusal;
        }
        String kind = unquotedWord(shape, firstToken(shape));
        if (shape.size > MAX_TOKENS) {
            return ShapeFacts.unanalyzed(StatementEffect.WRITE, "longer than is read", kind, true);
        } else if (depth(shape) > MAX_DEPTH) {
            return ShapeFacts.unanalyzed(StatementEffect.WRITE, "nested deeper than is read", kind, true);
        }
        ShapeFacts facts = parse(shape, kind);
        String changeWord = facts.verdict() == StatementEffect.READ ? findChangeWord(shape) : null;
        // A read needs two proofs: that of the grammar, and that no word of a change occurs outside quotes.
        return changeWord == null
                ? facts
                : ShapeFacts.unanalyzed(StatementEffect.WRITE, "the word " + changeWord, kind, true);
    }

    private ShapeFacts parse(TokenBuffer shape, String kind) {
        try {
            var analysis = new StatementAnalysis(harmlessNames);
            ParseTreeWalker.DEFAULT.walk(analysis, parser.parse(GrammarTokens.of(shape)));
            return analysis.facts(kind);
        } catch (BoundedSqlParser.TooManyRulesException e) {
            return ShapeFacts.unanalyzed(StatementEffect.WRITE, "takes more work than is spent on one", kind, true);
        } catch (ParseCancellationException e) {
            return ShapeFacts.unanalyzed(StatementEffect.WRITE, "not understood", kind, true);
        }
    }

    static String text(TokenBuffer shape, int i) {
        return new String(shape.text, shape.starts[i], shape.ends[i] - shape.starts[i], StandardCharsets.UTF_8);
    }

    /** The unquoted word at this index; empty if the token is none. */
    private static String unquotedWord(TokenBuffer shape, int i) {
        return i < shape.size && shape.kinds[i] == Kind.WORD ? text(shape, i) : "";
    }

    /** The index of the first token after opening brackets, because a query may be in brackets. */
    private static int firstToken(TokenBuffer shape) {
        int i = 0;
        while (i < shape.size && shape.kinds[i] == Kind.LP) {
            i++;
        }
        return i;
    }

    /** The deepest nesting of brackets and CASE in the shape. */
    private static int depth(TokenBuffer shape) {
        int depth = 0;
        int deepest = 0;
        for (int i = 0; i < shape.size; i++) {
            // Behind AS, the words CASE and END are labels.
            boolean word = shape.kinds[i] == Kind.WORD && !(i > 0 && shape.isWord(i - 1, "as"));
            boolean opens = shape.kinds[i] == Kind.LP || shape.kinds[i] == Kind.LB || (word && shape.isWord(i, "case"));
            boolean closes = shape.kinds[i] == Kind.RP || shape.kinds[i] == Kind.RB || (word && shape.isWord(i, "end"));
            depth += opens ? 1 : closes ? -1 : 0;
            deepest = Math.max(deepest, depth);
        }
        return deepest;
    }

    /** The first unquoted word that may belong to a change; null if there is none. */
    private static String findChangeWord(TokenBuffer shape) {
        for (int i = 0; i < shape.size; i++) {
            String word = unquotedWord(shape, i);
            if (CHANGE_WORDS.contains(word)) {
                return word;
            }
        }
        return null;
    }
}
