package clayhook.statements;

import clayhook.statements.TokenBuffer.Kind;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The settings of one client session, such as drivers make when they connect. The router answers SET and RESET itself
 * and applies the settings to each node connection before it sends a statement of the session on it. Accepts only
 * settings that affect the presentation of values or logging: a setting that changes the effect of statements would
 * have to be considered by their classification too.
 */
public final class SessionSettings {
    /**
     * Settings that are applied to node connections: the PostgreSQL documentation describes them as client preferences,
     * and none changes the effect of a statement.
     */
    private static final Set<String> REPLAYED = Set.of(
            "application_name",
            "bytea_output",
            "client_min_messages",
            "datestyle",
            "extra_float_digits",
            "intervalstyle",
            "timezone");

    private static final String STATEMENT_TIMEOUT = "statement_timeout";
    /** The longest value in characters of SQL, far above any valid value; it bounds the memory of a session. */
    private static final int MAX_VALUE_LENGTH = 256;

    /** The reply to the client. */
    public sealed interface Reply {
        /**
         * The command was executed.
         *
         * @param tag the command tag
         * @param name the setting whose new value is reported to the client, or null
         * @param value the reported value as plain text, or null
         */
        record Done(String tag, String name, String value) implements Reply {}

        /** The command cannot be executed through the router. */
        record Refused(String why) implements Reply {}
    }

    private final Lexer lexer;
    private final boolean standardConformingStrings;
    private final TokenBuffer tokens = new TokenBuffer();
    /** The values, as SQL text, by name. The map is immutable; the replayed names bound its size. */
    private Map<String, String> values = Map.of();

    private double timeout;
    private ClientIdentity client = ClientIdentity.UNKNOWN;

    public SessionSettings(boolean standardConformingStrings) {
        this.standardConformingStrings = standardConformingStrings;
        lexer = new Lexer(standardConformingStrings);
    }

    /** The settings that a node connection must have: the values, as SQL text, by name, in an immutable map. */
    public Map<String, String> values() {
        return values;
    }

    /** The identity that the client gave; its application_name changes with the setting of that name. */
    public ClientIdentity client() {
        return client;
    }

    /** Applies the startup parameters of a client. Returns the reason why one was refused, or null if none was. */
    public String applyStartupParameters(Map<String, String> parameters) {
        client = new ClientIdentity(
                parameters.getOrDefault("user", ""),
                parameters.getOrDefault("database", parameters.getOrDefault("user", "")),
                "");
        for (var parameter : parameters.entrySet()) {
            String name = IdentifierRules.fold(parameter.getKey());
            String value = parameter.getValue();
            boolean passed = name.equals("user")
                    || name.equals("database")
                    || name.startsWith("_pq_.")
                    || value.isEmpty()
                    || (name.equals("replication")
                            && Set.of("false", "off", "no", "0").contains(value));
            if (!passed && applyStartupParameter(name, value) instanceof Reply.Refused refused) {
                return refused.why();
            }
        }
        return null;
    }

    /** The statement timeout in seconds that the client has set; 0 if it has set none. */
    public double timeout() {
        return timeout;
    }

    /** Applies a setting from the startup message, in which the value is plain text. */
    private Reply applyStartupParameter(String name, String value) {
        boolean plain = value.indexOf('\\') < 0;
        return plain
                ? set(IdentifierRules.fold(name), "'" + value.replace("'", "''") + "'", value)
                : new Reply.Refused("setting " + name + " has a value that cannot be passed on");
    }

    /** Executes a SET or RESET statement. Returns null for any other statement, which has to be sent to a node. */
    public Reply execute(byte[] statement) {
        if (!mayBeSetOrReset(statement)) {
            return null;
        }
        lexer.lex(statement, tokens);
        while (tokens.size > 0 && tokens.kinds[tokens.size - 1] == Kind.SEMI) {
            tokens.size--;
        }
        if (tokens.error != null || tokens.size < 2 || (!tokens.isWord(0, "set") && !tokens.isWord(0, "reset"))) {
            return null;
        }
        for (int i = 0; i < tokens.size; i++) {
            if (tokens.kinds[i] == Kind.SEMI) {
                return null;
            }
        }
        return tokens.isWord(0, "reset") ? reset() : set();
    }

    /**
     * Whether the statement begins like SET or RESET, or with a comment or semicolon. Avoids splitting other statements
     * into tokens twice, here and in the classifier.
     */
    private static boolean mayBeSetOrReset(byte[] statement) {
        int i = 0;
        while (i < statement.length && statement[i] <= ' ' && statement[i] > 0) {
            i++;
        }
        int c = i < statement.length ? statement[i] | 0x20 : 0;
        int second = i + 1 < statement.length ? statement[i + 1] | 0x20 : 0;
        return ((c == 's' || c == 'r')
                        && second == 'e'
                        && i + 2 < statement.length
                        && ((statement[i + 2] | 0x20) == 't' || (statement[i + 2] | 0x20) == 's'))
                || c == '-'
                || c == '/'
                || c == ';';
    }

    private Reply reset() {
        boolean all = tokens.isWord(1, "all");
        String name = all ? "" : name(1);
        if (tokens.size != 2 || (!all && !REPLAYED.contains(name) && !name.equals(STATEMENT_TIMEOUT))) {
            return refused(all ? "" : name);
        }
        timeout = all || name.equals(STATEMENT_TIMEOUT) ? 0 : timeout;
        var newValues = new TreeMap<>(values);
        newValues.remove(name);
        values = all ? Map.of() : Collections.unmodifiableMap(newValues);
        return new Reply.Done("RESET", null, null);
    }

    private Reply set() {
        int at = tokens.isWord(1, "session") && tokens.size > 2 ? 2 : 1;
        if (tokens.isWord(1, "local") || tokens.isWord(at, "characteristics") || tokens.isWord(at, "transaction")) {
            return refused(text(1, tokens.size));
        }
        boolean isTimeZone = tokens.isWord(at, "time") && at + 1 < tokens.size && tokens.isWord(at + 1, "zone");
        boolean isNames = tokens.isWord(at, "names");
        String name = isTimeZone ? "timezone" : isNames ? "client_encoding" : name(at);
        int value = isTimeZone ? at + 2 : isNames ? at + 1 : at + 2;
        boolean sign = isTimeZone
                || isNames
                || (at + 1 < tokens.size && (tokens.kinds[at + 1] == Kind.EQ || tokens.isWord(at + 1, "to")));
        if (!sign || value >= tokens.size || !onlyConstants(value)) {
            return refused(name);
        }
        if (tokens.size == value + 1 && tokens.isWord(value, "default")) {
            var newValues = new TreeMap<>(values);
            boolean known = REPLAYED.contains(name) || name.equals(STATEMENT_TIMEOUT);
            newValues.remove(name);
            values = Collections.unmodifiableMap(newValues);
            timeout = name.equals(STATEMENT_TIMEOUT) ? 0 : timeout;
            return known ? new Reply.Done("SET", null, null) : refused(name);
        }
        String sql = text(value, tokens.size);
        String plain = tokens.size > value + 1
                ? sql
                : tokens.kinds[value] == Kind.LITERAL
                        ? Literals.canonicalText(tokens.text, tokens.starts[value], tokens.ends[value])
                        : sql;
        return set(
                name,
                isTimeZone && tokens.kinds[value] == Kind.WORD ? "'" + sql + "'" : sql,
                plain == null ? sql : plain);
    }

    /** Whether the rest consists of words, literals, commas and signs, which cannot have side effects. */
    private boolean onlyConstants(int from) {
        for (int i = from; i < tokens.size; i++) {
            Kind kind = tokens.kinds[i];
            boolean sign = kind == Kind.OP
                    && tokens.ends[i] - tokens.starts[i] == 1
                    && (tokens.text[tokens.starts[i]] == '-' || tokens.text[tokens.starts[i]] == '+');
            if (kind != Kind.WORD && kind != Kind.LITERAL && kind != Kind.COMMA && !sign) {
                return false;
            }
        }
        return true;
    }

    private Reply set(String name, String sql, String plain) {
        switch (name) {
            case "client_encoding" -> {
                String encoding = IdentifierRules.fold(plain).replace("-", "").replace("_", "");
                return encoding.equals("utf8") || encoding.equals("unicode")
                        ? new Reply.Done("SET", null, null)
                        : new Reply.Refused("client_encoding can only be UTF8 through the router");
            }
            case "standard_conforming_strings" -> {
                boolean on = Set.of("on", "true", "yes", "1").contains(IdentifierRules.fold(plain));
                return on == standardConformingStrings ? new Reply.Done("SET", null, null) : refused(name);
            }
            case STATEMENT_TIMEOUT -> {
                double seconds = parseSeconds(plain);
                timeout = seconds < 0 ? timeout : seconds;
                return seconds < 0
                        ? new Reply.Refused("statement_timeout has no valid time")
                        : new Reply.Done("SET", null, null);
            }
            default -> {
                if (!REPLAYED.contains(name) || sql.length() > MAX_VALUE_LENGTH) {
                    return refused(name);
                }
                var newValues = new TreeMap<>(values);
                newValues.put(name, sql);
                values = Collections.unmodifiableMap(newValues);
                client = name.equals("application_name")
                        ? new ClientIdentity(client.user(), client.database(), plain)
                        : client;
                return new Reply.Done("SET", name, plain);
            }
        }
    }

    private static Reply refused(String name) {
        return new Reply.Refused("setting " + name + " cannot be made through the router");
    }

    /** Converts an integer with an optional unit, by default milliseconds, to seconds; negative if invalid. */
    private static double parseSeconds(String text) {
        String digits = text.strip();
        double unit = 0.001;
        for (var known : Map.of("ms", 0.001, "s", 1.0, "min", 60.0, "h", 3600.0).entrySet()) {
            String before = digits.endsWith(known.getKey())
                    ? digits.substring(0, digits.length() - known.getKey().length())
                            .strip()
                    : "";
            if (!before.isEmpty() && before.chars().allMatch(c -> c >= '0' && c <= '9')) {
                digits = before;
                unit = known.getValue();
                break;
            }
        }
        boolean number =
                !digits.isEmpty() && digits.length() < 12 && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return number ? Long.parseLong(digits) * unit : -1;
    }

    private String name(int i) {
        String text = text(i, i + 1);
        return tokens.kinds[i] == Kind.QUOTED
                ? IdentifierRules.fold(IdentifierRules.unquote(text))
                : IdentifierRules.fold(text);
    }

    private String text(int from, int to) {
        var out = new StringBuilder();
        for (int i = from; i < to; i++) {
            out.append(out.isEmpty() ? "" : " ")
                    .append(new String(
                            tokens.text, tokens.starts[i], tokens.ends[i] - tokens.starts[i], StandardCharsets.UTF_8));
        }
        return out.toString();
    }

    /** The SQL statements that change the settings of a connection to the given ones; empty if there is no change. */
    public static String changeStatements(Map<String, String> from, Map<String, String> to) {
        var out = new StringBuilder();
        from.keySet().stream()
                .filter(name -> !to.containsKey(name))
                .forEach(name -> out.append("RESET ").append(name).append(';'));
        to.forEach((name, value) -> {
            if (!value.equals(from.get(name))) {
                out.append("SET ").append(name).append(" TO ").append(value).append(';');
            }
        });
        return out.toString();
    }
}
