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

    private static final Set<String> TRANSACTION_COMMANDS =
            Set.of("begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release");
    private static final Set<String> CONNECTION_BOUND_COMMANDS = Set.of(
            "copy",
            "listen",
            "unlisten",
            "prepare",
            "execute",
            "deallocate",
            "declare",
            "fetch",
            "move",
            "close",
            "lock",
            "discard",
            "set",
            "reset",
            "load");
    private static final Set<String> CHANGE_WORDS =
            Set.of("insert", "update", "delete", "merge", "into", "truncate", "create", "drop", "alter", "call");
    /** Commands that may change the state of the database session in which they run. */
    private static final Set<String> SESSION_CHANGING_COMMANDS = Set.of("do", "call");

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

    /** Analyzes a shape; never fails. */
    ShapeFacts analyze(TokenBuffer shape) {
        if (shape.size == 0) {
            return ShapeFacts.unanalyzed(StatementEffect.READ, "nothing to do", "", false);
        }
        ShapeFacts refusal = refuseUnsupported(shape);
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

    // ---- statements that cannot run on a shared connection ----

    /**
     * Refuses shapes of which any statement binds the session to a connection or controls a transaction; several
     * statements in one, DO and CALL are writes. Returns null if the shape has to be parsed.
     */
    private static ShapeFacts refuseUnsupported(TokenBuffer shape) {
        int statements = 1;
        int start = 0;
        for (int i = 0; i <= shape.size; i++) {
            if (i < shape.size && shape.kinds[i] != Kind.SEMI) {
                continue;
            }
            if (i == start) {
                start = i + 1;
                continue;
            }
            String first = unquotedWord(shape, start);
            if (TRANSACTION_COMMANDS.contains(first)
                    || (first.equals("prepare")
                            && unquotedWord(shape, start + 1).equals("transaction"))) {
                return ShapeFacts.unanalyzed(
                        StatementEffect.REFUSED, "transaction blocks are not taken yet: " + first, first, false);
            } else if (CONNECTION_BOUND_COMMANDS.contains(first)) {
                return ShapeFacts.unanalyzed(
                        StatementEffect.REFUSED, "binds the session to a connection: " + first, first, false);
            }
            statements += start > 0 ? 1 : 0;
            start = i + 1;
        }
        for (int i = 0; i + 1 < shape.size; i++) {
            if (shape.kinds[i] == Kind.WORD
                    && (shape.isWord(i, "temp") || shape.isWord(i, "temporary"))
                    && (i <= MAX_TEMPORARY_INDEX || unquotedWord(shape, i - 1).equals("into"))
                    && (unquotedWord(shape, 0).equals("create")
                            || unquotedWord(shape, i - 1).equals("into"))) {
                return ShapeFacts.unanalyzed(
                        StatementEffect.REFUSED,
                        "binds the session to a connection: a temporary object",
                        unquotedWord(shape, 0),
                        false);
            }
            String name = shape.kinds[i + 1] != Kind.LP
                    ? ""
                    : shape.kinds[i] == Kind.WORD
                            ? text(shape, i)
                            : shape.kinds[i] == Kind.QUOTED ? IdentifierRules.unquote(text(shape, i)) : "";
            if (HarmlessNames.CONNECTION_BOUND_FUNCTIONS.contains(name)) {
                return ShapeFacts.unanalyzed(
                        StatementEffect.REFUSED,
                        "binds the session to a connection: " + name,
                        unquotedWord(shape, firstToken(shape)),
                        false);
            }
        }
        String kind = unquotedWord(shape, firstToken(shape));
        return statements > 1
                ? ShapeFacts.unanalyzed(StatementEffect.WRITE, "several statements in one", kind, true)
                : SESSION_CHANGING_COMMANDS.contains(kind)
                        ? ShapeFacts.unanalyzed(StatementEffect.WRITE, kind + " may run anything", kind, true)
                        : null;
    }

    /** The last index at which TEMPORARY may follow CREATE, OR, REPLACE, and LOCAL or GLOBAL. */
    private static final int MAX_TEMPORARY_INDEX = 4;
}
