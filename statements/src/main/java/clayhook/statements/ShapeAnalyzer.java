package clayhook.statements;

import clayhook.statements.TokenBuffer.Kind;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.antlr.v4.runtime.BailErrorStrategy;
import org.antlr.v4.runtime.CommonToken;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ListTokenSource;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.atn.ParserATNSimulator;
import org.antlr.v4.runtime.atn.PredictionContextCache;
import org.antlr.v4.runtime.atn.PredictionMode;
import org.antlr.v4.runtime.dfa.DFA;
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
    private static final int DEEPEST = 40;
    /**
     * The longest shape in tokens that is parsed, where a list of literals counts as one. Longer ones are generated.
     */
    static final int LONGEST = 4000;
    /**
     * The most lookahead states that the parser caches, of some hundred bytes each. Their number grows with the number
     * of shapes, so the cache is discarded above this bound.
     */
    static final int MOST_STATES = 20_000;

    private static final Map<String, Integer> WORDS = words();
    private static final Set<String> BLOCKS =
            Set.of("begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release");
    private static final Set<String> BINDING = Set.of(
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
    private static final Set<String> CHANGING =
            Set.of("insert", "update", "delete", "merge", "into", "truncate", "create", "drop", "alter", "call");
    /** Commands that may change the state of the database session in which they run. */
    private static final Set<String> OPAQUE = Set.of("do", "call");

    private final HarmlessNames known;
    private final Sql parser;
    private int states;

    ShapeAnalyzer(HarmlessNames known) {
        this.known = known;
        parser = new Sql(new CommonTokenStream(new ListTokenSource(List.of())));
        parser.removeErrorListeners();
        parser.setErrorHandler(new BailErrorStrategy());
        forget();
    }

    private static Map<String, Integer> words() {
        Map<String, Integer> words = new HashMap<>();
        for (int type = Sql.ALL; type <= Sql.VOCABULARY.getMaxTokenType(); type++) {
            String name = Sql.VOCABULARY.getSymbolicName(type);
            words.put(IdentifierRules.fold(name.endsWith("_") ? name.substring(0, name.length() - 1) : name), type);
        }
        return words;
    }

    /**
     * Gives the parser new lookahead tables of its own. By default, all parsers share tables that are never cleared.
     */
    private void forget() {
        var decisions = new DFA[parser.getATN().getNumberOfDecisions()];
        for (int i = 0; i < decisions.length; i++) {
            decisions[i] = new DFA(parser.getATN().getDecisionState(i), i);
        }
        var simulator = new ParserATNSimulator(parser, parser.getATN(), decisions, new PredictionContextCache());
        // Shapes that the weaker SLL prediction cannot parse are classified as writes, which at worst costs speed.
        simulator.setPredictionMode(PredictionMode.SLL);
        parser.setInterpreter(simulator);
    }

    /** The number of lookahead states that the parser holds. */
    int states() {
        return states;
    }

    /** Analyzes a shape; never fails. */
    ShapeFacts read(TokenBuffer shape) {
        if (shape.size == 0) {
            return ShapeFacts.unread(StatementEffect.READ, "nothing to do", "", false);
        }
        ShapeFacts refusal = refusal(shape);
        if (refusal != null) {
            return refusal;
        }
        String kind = word(shape, first(shape));
        if (shape.size > LONGEST) {
            return ShapeFacts.unread(StatementEffect.WRITE, "longer than is read", kind, true);
        } else if (depth(shape) > DEEPEST) {
            return ShapeFacts.unread(StatementEffect.WRITE, "nested deeper than is read", kind, true);
        }
        ShapeFacts facts = parse(shape, kind);
        String changing = facts.verdict() == StatementEffect.READ ? changing(shape) : null;
        // A read needs two proofs: that of the grammar, and that no word of a change occurs outside quotes.
        return changing == null ? facts : ShapeFacts.unread(StatementEffect.WRITE, "the word " + changing, kind, true);
    }

    private ShapeFacts parse(TokenBuffer shape, String kind) {
        var tokens = new ArrayList<Token>(shape.size);
        for (int i = 0; i < shape.size; i++) {
            String text = text(shape, i);
            var token = new CommonToken(type(shape.kinds[i], text), text);
            token.setTokenIndex(i);
            tokens.add(token);
        }
        try {
            parser.setTokenStream(new CommonTokenStream(new ListTokenSource(tokens)));
            var reading = new StatementAnalysis(known);
            ParseTreeWalker.DEFAULT.walk(reading, parser.entry());
            return reading.facts(kind);
        } catch (ParseCancellationException e) {
            return ShapeFacts.unread(StatementEffect.WRITE, "not understood", kind, true);
        } finally {
            states = 0;
            for (DFA decision : parser.getInterpreter().decisionToDFA) {
                states += decision.states.size();
            }
            if (states > MOST_STATES) {
                forget();
            }
        }
    }

    private static int type(Kind kind, String text) {
        return switch (kind) {
            case WORD -> WORDS.getOrDefault(text, Sql.WORD);
            case QUOTED -> Sql.QUOTED;
            case LITERAL -> Sql.LITERAL;
            case OP -> Sql.OP;
            case EQ -> Sql.EQ;
            case STAR -> Sql.STAR;
            case LP -> Sql.LP;
            case RP -> Sql.RP;
            case LB -> Sql.LB;
            case RB -> Sql.RB;
            case COMMA -> Sql.COMMA;
            case SEMI -> Sql.SEMI;
            case DOT -> Sql.DOT;
            case COLON -> Sql.COLON;
            case COLON_EQ -> Sql.COLON_EQ;
            case ARROW -> Sql.ARROW;
            case CAST_TO -> Sql.CAST_TO;
        };
    }

    private static String text(TokenBuffer shape, int i) {
        return new String(shape.text, shape.from[i], shape.to[i] - shape.from[i], StandardCharsets.UTF_8);
    }

    /** The unquoted word at this index; empty if the token is none. */
    private static String word(TokenBuffer shape, int i) {
        return i < shape.size && shape.kinds[i] == Kind.WORD ? text(shape, i) : "";
    }

    /** The index of the first token after opening brackets, because a query may be in brackets. */
    private static int first(TokenBuffer shape) {
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
            boolean word = shape.kinds[i] == Kind.WORD;
            boolean opens = shape.kinds[i] == Kind.LP || shape.kinds[i] == Kind.LB || (word && shape.is(i, "case"));
            boolean closes = shape.kinds[i] == Kind.RP || shape.kinds[i] == Kind.RB || (word && shape.is(i, "end"));
            depth += opens ? 1 : closes ? -1 : 0;
            deepest = Math.max(deepest, depth);
        }
        return deepest;
    }

    /** The first unquoted word that may belong to a change; null if there is none. */
    private static String changing(TokenBuffer shape) {
        for (int i = 0; i < shape.size; i++) {
            String word = word(shape, i);
            if (CHANGING.contains(word)) {
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
    private static ShapeFacts refusal(TokenBuffer shape) {
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
            String first = word(shape, start);
            if (BLOCKS.contains(first)
                    || (first.equals("prepare") && word(shape, start + 1).equals("transaction"))) {
                return ShapeFacts.unread(
                        StatementEffect.REFUSED, "transaction blocks are not taken yet: " + first, first, false);
            } else if (BINDING.contains(first)) {
                return ShapeFacts.unread(
                        StatementEffect.REFUSED, "binds the session to a connection: " + first, first, false);
            }
            statements += start > 0 ? 1 : 0;
            start = i + 1;
        }
        for (int i = 0; i + 1 < shape.size; i++) {
            if (shape.kinds[i] == Kind.WORD
                    && (shape.is(i, "temp") || shape.is(i, "temporary"))
                    && (i <= MODIFIERS || word(shape, i - 1).equals("into"))
                    && (word(shape, 0).equals("create") || word(shape, i - 1).equals("into"))) {
                return ShapeFacts.unread(
                        StatementEffect.REFUSED,
                        "binds the session to a connection: a temporary object",
                        word(shape, 0),
                        false);
            }
            String name = shape.kinds[i + 1] != Kind.LP
                    ? ""
                    : shape.kinds[i] == Kind.WORD
                            ? text(shape, i)
                            : shape.kinds[i] == Kind.QUOTED ? IdentifierRules.unquote(text(shape, i)) : "";
            if (HarmlessNames.BINDING.contains(name)) {
                return ShapeFacts.unread(
                        StatementEffect.REFUSED,
                        "binds the session to a connection: " + name,
                        word(shape, first(shape)),
                        false);
            }
        }
        String kind = word(shape, first(shape));
        return statements > 1
                ? ShapeFacts.unread(StatementEffect.WRITE, "several statements in one", kind, true)
                : OPAQUE.contains(kind)
                        ? ShapeFacts.unread(StatementEffect.WRITE, kind + " may run anything", kind, true)
                        : null;
    }

    /** The last index at which TEMPORARY may follow CREATE, OR, REPLACE, and LOCAL or GLOBAL. */
    private static final int MODIFIERS = 4;
}
