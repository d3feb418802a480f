package clayhook.statements;

import clayhook.statements.TokenBuffer.Kind;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/**
 * Refuses statements that bind the session to a connection or control a transaction. Reads all tokens of a statement,
 * also of one that is too long to be parsed.
 */
final class UnsupportedStatements {
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
    /** Commands that may change the state of the database session in which they run. */
    private static final Set<String> SESSION_CHANGING_COMMANDS = Set.of("do", "call");
    /** The last index, from the first token, at which TEMPORARY may follow CREATE, OR, REPLACE, and LOCAL or GLOBAL. */
    private static final int MAX_TEMPORARY_INDEX = 4;

    private final TokenBuffer tokens;
    /** The index of the first token that is no semicolon. */
    private final int begin;

    private UnsupportedStatements(TokenBuffer tokens) {
        this.tokens = tokens;
        int i = 0;
        while (i < tokens.size && tokens.kinds[i] == Kind.SEMI) {
            i++;
        }
        begin = i;
    }

    /**
     * Refuses a statement that binds the session to a connection or controls a transaction; several statements in one,
     * DO and CALL are writes. Returns null if the statement's shape has to be parsed.
     */
    static ShapeFacts refuse(TokenBuffer statement) {
        return new UnsupportedStatements(statement).refuse();
    }

    private ShapeFacts refuse() {
        int statements = 0;
        int start = begin;
        for (int i = begin; i <= tokens.size; i++) {
            if (i < tokens.size && tokens.kinds[i] != Kind.SEMI) {
                continue;
            }
            if (i > start) {
                ShapeFacts refusal = refuseCommand(start);
                if (refusal != null) {
                    return refusal;
                }
                statements++;
            }
            start = i + 1;
        }
        for (int i = begin; i + 1 < tokens.size; i++) {
            ShapeFacts refusal = isTemporaryObject(i) ? refuseTemporaryObject() : refuseFunction(i);
            if (refusal != null) {
                return refusal;
            }
        }
        String kind = kind();
        if (statements > 1) {
            return ShapeFacts.unanalyzed(StatementEffect.WRITE, "several statements in one", kind, true);
        }
        return SESSION_CHANGING_COMMANDS.contains(kind)
                ? ShapeFacts.unanalyzed(StatementEffect.WRITE, kind + " may run anything", kind, true)
                : null;
    }

    private ShapeFacts refuseCommand(int start) {
        String first = unquotedWord(start);
        if (TRANSACTION_COMMANDS.contains(first)
                || (first.equals("prepare") && unquotedWord(start + 1).equals("transaction"))) {
            return ShapeFacts.unanalyzed(
                    StatementEffect.REFUSED, "transaction blocks are not taken yet: " + first, first, false);
        }
        return CONNECTION_BOUND_COMMANDS.contains(first)
                ? ShapeFacts.unanalyzed(
                        StatementEffect.REFUSED, "binds the session to a connection: " + first, first, false)
                : null;
    }

    private boolean isTemporaryObject(int i) {
        if (tokens.kinds[i] != Kind.WORD || !(tokens.isWord(i, "temp") || tokens.isWord(i, "temporary"))) {
            return false;
        }
        boolean followsInto = i > begin && tokens.isWord(i - 1, "into");
        return followsInto || (i - begin <= MAX_TEMPORARY_INDEX && tokens.isWord(begin, "create"));
    }

    private ShapeFacts refuseTemporaryObject() {
        return ShapeFacts.unanalyzed(
                StatementEffect.REFUSED,
                "binds the session to a connection: a temporary object",
                unquotedWord(begin),
                false);
    }

    /** Refuses a call of a function that binds the session; null if there is none at this index. */
    private ShapeFacts refuseFunction(int i) {
        if (tokens.kinds[i + 1] != Kind.LP) {
            return null;
        }
        String name = tokens.kinds[i] == Kind.QUOTED ? IdentifierRules.unquote(text(i)) : unquotedWord(i);
        return HarmlessNames.CONNECTION_BOUND_FUNCTIONS.contains(name)
                ? ShapeFacts.unanalyzed(
                        StatementEffect.REFUSED, "binds the session to a connection: " + name, kind(), false)
                : null;
    }

    /** The first word after opening brackets, because a query may be in brackets. */
    private String kind() {
        int i = begin;
        while (i < tokens.size && tokens.kinds[i] == Kind.LP) {
            i++;
        }
        return unquotedWord(i);
    }

    /** The unquoted word at this index in lower case; empty if the token is none. */
    private String unquotedWord(int i) {
        return i < tokens.size && tokens.kinds[i] == Kind.WORD ? IdentifierRules.fold(text(i)) : "";
    }

    private String text(int i) {
        return new String(tokens.text, tokens.starts[i], tokens.ends[i] - tokens.starts[i], StandardCharsets.UTF_8);
    }
}
