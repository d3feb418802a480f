package clayhook.statements;

import clayhook.statements.TokenBuffer.Kind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.antlr.v4.runtime.CommonToken;
import org.antlr.v4.runtime.Token;

/**
 * Converts the tokens of a shape to those of the grammar. A word that is not reserved is a keyword or a name depending
 * on at most two tokens before and behind it, so that the parser never needs to look further than one token ahead. A
 * word that is taken for the wrong one makes the shape unparsable, which makes it a write.
 */
final class GrammarTokens {
    private static final Map<String, Integer> KEYWORD_TYPES = keywordTypes();
    /** The units of an interval, which are keywords behind an interval only. */
    private static final Set<String> INTERVAL_UNITS = Set.of("year", "month", "day", "hour", "minute", "second");
    /** Reserved words that end an operand, such as NULL. */
    private static final Set<Integer> RESERVED_OPERAND_ENDS = Set.of(
            Sql.NULL,
            Sql.TRUE,
            Sql.FALSE,
            Sql.DEFAULT,
            Sql.END,
            Sql.ISNULL,
            Sql.NOTNULL,
            Sql.USER,
            Sql.SESSION_USER,
            Sql.CURRENT_USER,
            Sql.CURRENT_ROLE,
            Sql.CURRENT_DATE,
            Sql.CURRENT_TIME,
            Sql.CURRENT_TIMESTAMP,
            Sql.CURRENT_CATALOG,
            Sql.CURRENT_SCHEMA,
            Sql.LOCALTIME,
            Sql.LOCALTIMESTAMP);
    /** Reserved words that begin an operand, such as NULL and CASE. */
    private static final Set<Integer> RESERVED_OPERAND_STARTS = Set.of(
            Sql.NULL,
            Sql.TRUE,
            Sql.FALSE,
            Sql.DEFAULT,
            Sql.CASE,
            Sql.CAST,
            Sql.ARRAY,
            Sql.NOT,
            Sql.SYMMETRIC,
            Sql.ASYMMETRIC,
            Sql.USER,
            Sql.SESSION_USER,
            Sql.CURRENT_USER,
            Sql.CURRENT_ROLE,
            Sql.CURRENT_DATE,
            Sql.CURRENT_TIME,
            Sql.CURRENT_TIMESTAMP,
            Sql.CURRENT_CATALOG,
            Sql.CURRENT_SCHEMA,
            Sql.LOCALTIME,
            Sql.LOCALTIMESTAMP);

    private final String[] texts;
    /** The types before neighbours are considered. */
    private final int[] types;
    /** The types for the grammar, of the tokens up to the current one. */
    private final int[] resolved;

    private boolean hasInsert;
    private boolean hasTableSample;

    private GrammarTokens(TokenBuffer shape) {
        texts = new String[shape.size];
        types = new int[shape.size];
        resolved = new int[shape.size];
        for (int i = 0; i < shape.size; i++) {
            texts[i] = ShapeAnalyzer.text(shape, i);
            types[i] = typeAlone(shape.kinds[i], texts[i]);
            hasInsert |= types[i] == Sql.INSERT;
            hasTableSample |= types[i] == Sql.TABLESAMPLE;
        }
    }

    private static Map<String, Integer> keywordTypes() {
        Map<String, Integer> types = new HashMap<>();
        for (int type = Sql.ALL; type <= Sql.VOCABULARY.getMaxTokenType(); type++) {
            String name = Sql.VOCABULARY.getSymbolicName(type);
            types.put(IdentifierRules.fold(name.endsWith("_") ? name.substring(0, name.length() - 1) : name), type);
        }
        return types;
    }

    /** The tokens of the grammar for a shape, one for each token of the shape. */
    static List<Token> of(TokenBuffer shape) {
        var input = new GrammarTokens(shape);
        var tokens = new ArrayList<Token>(shape.size);
        for (int i = 0; i < shape.size; i++) {
            input.resolved[i] = input.resolve(i);
            var token = new CommonToken(input.resolved[i], input.texts[i]);
            token.setTokenIndex(i);
            tokens.add(token);
        }
        return tokens;
    }

    private static int typeAlone(Kind kind, String text) {
        return switch (kind) {
            case WORD -> KEYWORD_TYPES.getOrDefault(text, Sql.WORD);
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

    // ---- a token and its neighbours ----

    /** The type of a token alone; EOF before the first and behind the last one. */
    private int type(int i) {
        return i >= 0 && i < types.length ? types[i] : Token.EOF;
    }

    private boolean isAnyOf(int i, int... wanted) {
        int type = type(i);
        for (int one : wanted) {
            if (type == one) {
                return true;
            }
        }
        return false;
    }

    /** Whether the token can be a name: a word that is not reserved, or a quoted name. */
    private boolean isName(int i) {
        return type(i) == Sql.WORD || type(i) == Sql.QUOTED || type(i) >= Sql.AT;
    }

    private boolean isUnit(int i) {
        return i < texts.length && type(i) == Sql.WORD && INTERVAL_UNITS.contains(texts[i]);
    }

    private boolean endsOperand(int i) {
        return (isName(i) && !isFollowedByOperand(i))
                || isAnyOf(i, Sql.LITERAL, Sql.RP, Sql.RB)
                || RESERVED_OPERAND_ENDS.contains(type(i));
    }

    /** Whether the token is a keyword that stands before an operand or a name. */
    private boolean isFollowedByOperand(int i) {
        return switch (resolved[i]) {
            case Sql.BETWEEN, Sql.BY, Sql.ESCAPE, Sql.RECURSIVE, Sql.ZONE -> true;
            default -> false;
        };
    }

    private boolean startsOperand(int i) {
        return isName(i)
                || isAnyOf(i, Sql.LITERAL, Sql.LP, Sql.OP)
                || RESERVED_OPERAND_STARTS.contains(type(i))
                || (isAnyOf(i, Sql.LEFT, Sql.RIGHT) && type(i + 1) == Sql.LP);
    }

    /** Whether a word stands between two operands, as BETWEEN and ESCAPE do. */
    private boolean joinsOperands(int i) {
        int left = type(i - 1) == Sql.NOT ? i - 2 : i - 1;
        return endsOperand(left) && startsOperand(i + 1);
    }

    // ---- the type of a token among its neighbours ----

    private int resolve(int i) {
        int type = types[i];
        if (isName(i)) {
            boolean namesArgument = isAnyOf(i + 1, Sql.ARROW, Sql.COLON_EQ);
            return namesArgument ? Sql.ARGUMENT_NAME : type == Sql.QUOTED ? type : resolveWord(i, type);
        }
        return switch (type) {
            case Sql.LP -> i == 1 && type(0) == Sql.EXPLAIN && !startsQuery(2) ? Sql.EXPLAIN_LP : type;
            case Sql.ON -> type(i + 1) == Sql.CONFLICT && isConflictClause(i + 1) ? Sql.ON_CONFLICT : type;
            case Sql.NOT -> type(i + 1) == Sql.IN ? Sql.NOT_IN : type;
            case Sql.IS -> type(type(i + 1) == Sql.NOT ? i + 2 : i + 1) == Sql.DISTINCT ? Sql.IS_DISTINCT : type;
            default -> type;
        };
    }

    /** Whether a query in brackets starts here, after the opening bracket. */
    private boolean startsQuery(int i) {
        return isAnyOf(i, Sql.SELECT, Sql.WITH, Sql.TABLE, Sql.LP) || (type(i) == Sql.VALUES && type(i + 1) == Sql.LP);
    }

    /** Whether the word CONFLICT at this index belongs to an INSERT, and is not the condition of a join. */
    private boolean isConflictClause(int i) {
        return hasInsert && type(i - 1) == Sql.ON && isAnyOf(i + 1, Sql.DO, Sql.ON, Sql.LP);
    }

    private int resolveWord(int i, int type) {
        return switch (type) {
            case Sql.ROW -> opensBracket(i) ? Sql.ROW_CONSTRUCTOR : type;
            case Sql.GROUPING ->
                type(i + 1) == Sql.SETS && type(i + 2) == Sql.LP
                        ? Sql.GROUPING_SETS
                        : opensBracket(i) ? type : Sql.WORD;
            case Sql.WORD -> isUnit(i) && followsInterval(i) ? Sql.UNIT : type;
            default -> isKeyword(i, type) ? type : Sql.WORD;
        };
    }

    /** Whether a bracket follows, as behind words that begin an expression of a form of its own. */
    private boolean opensBracket(int i) {
        return type(i + 1) == Sql.LP && type(i - 1) != Sql.DOT;
    }

    /** Whether the unit at this index belongs to an interval before it, such as in INTERVAL '1-2' YEAR TO MONTH. */
    private boolean followsInterval(int i) {
        return isResolved(i - 1, Sql.INTERVAL)
                || isResolved(i - 1, Sql.UNIT)
                || (isResolved(i - 1, Sql.LITERAL) && isResolved(i - 2, Sql.INTERVAL))
                || (isResolved(i - 1, Sql.TO) && isResolved(i - 2, Sql.UNIT));
    }

    private boolean isResolved(int i, int type) {
        return i >= 0 && resolved[i] == type;
    }

    /**
     * Whether a word that is not reserved is a keyword here. The other ones are keywords that the grammar has as names.
     */
    private boolean isKeyword(int i, int type) {
        return switch (type) {
            case Sql.AT -> type(i + 1) == Sql.TIME && type(i + 2) == Sql.ZONE;
            case Sql.WITHOUT -> type(i + 1) == Sql.TIME;
            case Sql.TIME -> type(i + 1) == Sql.ZONE && precedesTimeZone(i - 1);
            case Sql.ZONE -> type(i - 1) == Sql.TIME && precedesTimeZone(i - 2);
            case Sql.BETWEEN, Sql.ESCAPE -> joinsOperands(i);
            case Sql.BIT, Sql.CHARACTER, Sql.NCHAR -> type(i + 1) == Sql.VARYING;
            case Sql.VARYING -> isAnyOf(i - 1, Sql.BIT, Sql.CHARACTER, Sql.NCHAR);
            case Sql.DOUBLE -> type(i + 1) == Sql.PRECISION;
            case Sql.PRECISION -> type(i - 1) == Sql.DOUBLE;
            case Sql.INTERVAL -> type(i + 1) == Sql.LITERAL || isUnit(i + 1);
            case Sql.EXISTS, Sql.EXTRACT, Sql.OVERLAY, Sql.POSITION, Sql.SUBSTRING, Sql.TRIM -> opensBracket(i);
            case Sql.OPERATOR -> type(i + 1) == Sql.LP && (endsOperand(i - 1) || type(i - 1) == Sql.USING);
            case Sql.UNKNOWN -> type(type(i - 1) == Sql.NOT ? i - 2 : i - 1) == Sql.IS;
            case Sql.EXPLAIN, Sql.SHOW -> i == 0;
            case Sql.VERBOSE -> i <= 2 && isAnyOf(i - 1, Sql.EXPLAIN, Sql.ANALYZE, Sql.ANALYSE);
            default -> isClauseKeyword(i, type);
        };
    }

    private boolean precedesTimeZone(int i) {
        return isAnyOf(i, Sql.AT, Sql.WITH, Sql.WITHOUT, Sql.SHOW);
    }

    /** Whether a word is a keyword of a clause here. */
    private boolean isClauseKeyword(int i, int type) {
        return switch (type) {
            case Sql.BY -> isAnyOf(i - 1, Sql.GROUP, Sql.ORDER, Sql.PARTITION);
            case Sql.CONFLICT -> isConflictClause(i);
            case Sql.CURRENT -> type(i + 1) == Sql.ROW;
            case Sql.EXCLUDE ->
                isAnyOf(i + 1, Sql.CURRENT, Sql.TIES, Sql.NO) || (type(i + 1) == Sql.GROUP && type(i + 2) != Sql.BY);
            case Sql.FILTER -> type(i - 1) == Sql.RP && type(i + 1) == Sql.LP && type(i + 2) == Sql.WHERE;
            case Sql.WITHIN -> type(i - 1) == Sql.RP && type(i + 1) == Sql.GROUP && type(i + 2) == Sql.LP;
            case Sql.OVER -> type(i - 1) == Sql.RP && (type(i + 1) == Sql.LP || isName(i + 1));
            case Sql.FIRST -> isAnyOf(i - 1, Sql.FETCH, Sql.NULLS);
            case Sql.NEXT -> type(i - 1) == Sql.FETCH;
            case Sql.LAST -> type(i - 1) == Sql.NULLS;
            case Sql.NULLS -> isAnyOf(i + 1, Sql.FIRST, Sql.LAST);
            case Sql.NOTHING -> type(i - 1) == Sql.DO;
            case Sql.ORDINALITY -> type(i - 1) == Sql.WITH;
            case Sql.TIES -> isAnyOf(i - 1, Sql.WITH, Sql.EXCLUDE);
            case Sql.OTHERS -> type(i - 1) == Sql.NO;
            case Sql.OVERRIDING -> hasInsert && isAnyOf(i + 1, Sql.USER, Sql.SYSTEM);
            case Sql.SYSTEM -> type(i - 1) == Sql.OVERRIDING;
            case Sql.VALUE -> type(i - 2) == Sql.OVERRIDING;
            case Sql.VALUES -> type(i - 1) == Sql.DEFAULT || (type(i + 1) == Sql.LP && !isExpectedName(i));
            case Sql.PARTITION -> type(i + 1) == Sql.BY;
            case Sql.RECURSIVE -> type(i - 1) == Sql.WITH && !isAnyOf(i + 1, Sql.AS, Sql.LP);
            case Sql.REPEATABLE -> hasTableSample && type(i - 1) == Sql.RP && type(i + 1) == Sql.LP;
            case Sql.SETS -> type(i - 1) == Sql.GROUPING && type(i + 1) == Sql.LP;
            case Sql.UNBOUNDED -> isAnyOf(i + 1, Sql.PRECEDING, Sql.FOLLOWING);
            default -> true;
        };
    }

    /** Whether the token before this one lets only a name follow. */
    private boolean isExpectedName(int i) {
        return isAnyOf(i - 1, Sql.INTO, Sql.AS, Sql.WITH, Sql.RECURSIVE, Sql.JOIN, Sql.DOT);
    }
}
