package clayhook.statements;

import clayhook.statements.Rule.Placement;
import clayhook.statements.ShapeFacts.Place;
import clayhook.statements.TokenBuffer.Kind;
import com.dynatrace.hash4j.hashing.Hasher128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Classifies SQL statements as reads or writes and applies the operator's rules to them. Caches the analysis by the
 * shape of the statement. Not thread-safe.
 */
public final class Classifier {
    /** Unseeded, so that all routers compute the same fingerprint for a shape and the same replica set for a key. */
    private static final Hasher128 NAMES = Hashing.murmur3_128(0);
    /** Initial estimate, in seconds, of the time to read one row; used until answers have been measured. */
    private static final double FIRST_UNIT = 0.001;
    /** The weight of one answer in the moving average of the seconds that a unit of work takes. */
    private static final double LEARN = 0.01;

    private final StatementRules rules;
    private final Lexer lexer;
    private final TokenBuffer tokens = new TokenBuffer();
    private final ShapeBuilder shaper = new ShapeBuilder();
    private final ShapeAnalyzer reader;
    private final ShapeCache shapes;
    private double unit = FIRST_UNIT;
    private int budget;
    private long hits;
    private long read;
    private long unread;

    /**
     * Numbers of statements since the previous call of {@link #counts}.
     *
     * @param hits statements whose shape was in the cache
     * @param read statements whose shape was parsed
     * @param unread statements whose shape was not parsed because the parse budget of the tick was used up
     */
    public record Counts(long hits, long read, long unread) {}

    /**
     * Creates a classifier with an empty cache.
     *
     * @param seed the hash seed of the cache, individual to this instance; it must be unknown to clients
     */
    public Classifier(StatementRules rules, long seed) {
        this.rules = rules;
        lexer = new Lexer(rules.conforming());
        reader = new ShapeAnalyzer(new HarmlessNames(rules));
        shapes = ShapeCache.seeded(rules.cacheBytes(), Long.hashCode(seed));
        turn();
    }

    /** Starts a tick of the event loop, which renews the budget for parsing shapes that are not in the cache. */
    public void turn() {
        budget = rules.parseBudget();
    }

    /** Returns the counts since the previous call and resets them. */
    public Counts counts() {
        var counts = new Counts(hits, read, unread);
        hits = read = unread = 0;
        return counts;
    }

    /** The number of cached shapes, without those that the cache did not admit after a single occurrence. */
    public long size() {
        return shapes.size();
    }

    /** The estimated size of the cached shapes in bytes, as computed by the cache's weigher. */
    public long weight() {
        return shapes.weight();
    }

    /** The number of lookahead states that the parser holds. */
    int states() {
        return reader.states();
    }

    /**
     * Classifies a statement of a client.
     *
     * <p>A statement that cannot be split into tokens or parsed is a write. A statement of a new shape for which the
     * tick has no parse budget left is refused or a write, depending on the operator's setting.
     *
     * @param text the statement in UTF-8
     */
    public Classification classify(byte[] text, ClientIdentity client) {
        lexer.lex(text, tokens);
        if (tokens.fault != null) {
            return ruled(ShapeFacts.unread(StatementEffect.WRITE, tokens.fault, "", true), null, unit, unit, client);
        }
        shaper.shape(tokens);
        Shape shape = shapes.get(shaper);
        if (shape != null) {
            hits++;
            return ruled(shape, client);
        }
        int size = Math.min(shaper.tokens.size, ShapeAnalyzer.LONGEST);
        // An unused budget is always sufficient for one shape, so that no shape is too long to be ever parsed.
        if (size > budget && budget < rules.parseBudget()) {
            unread++;
            ShapeFacts facts = ShapeFacts.unread(
                    rules.refusePast() ? StatementEffect.REFUSED : StatementEffect.WRITE,
                    "more new shapes in a turn than are read",
                    "",
                    true);
            return ruled(facts, null, unit, unit, client);
        }
        budget -= size;
        read++;
        byte[] bytes = Arrays.copyOf(shaper.bytes, shaper.length);
        shape = new Shape(bytes, fingerprint(bytes), reader.read(shaper.tokens));
        shapes.put(shape);
        return ruled(shape, client);
    }

    /** The shape of a statement as readable text; empty if the statement cannot be split into tokens. */
    public String shape(byte[] text) {
        lexer.lex(text, tokens);
        if (tokens.fault != null) {
            return "";
        }
        shaper.shape(tokens);
        return new String(shaper.bytes, 0, shaper.length, StandardCharsets.UTF_8);
    }

    private static String fingerprint(byte[] shape) {
        var hash = NAMES.hashBytesTo128Bits(shape);
        return String.format("%016x%016x", hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    /**
     * Records the service time of an answered statement in the cost estimate of its shape and of a unit of work.
     *
     * @param seconds the time until the answer; ignored unless positive
     */
    public void took(Classification classed, double seconds) {
        Shape shape = classed.shape();
        if (shape != null && seconds > 0) {
            unit += LEARN * (seconds / shape.facts.work() - unit);
            if (shape.took(seconds)) {
                shapes.put(shape);
            }
        }
    }

    /** Classifies all statements of this shape as writes from now on, because a node refused to run one as a read. */
    public void wrote(Classification classed) {
        if (classed.shape() != null) {
            classed.shape().facts = classed.shape().facts.butWrites("a node would not run it as a read");
            shapes.put(classed.shape());
        }
    }

    // ---- operator rules ----

    private Classification ruled(Shape shape, ClientIdentity client) {
        double guess = shape.facts.work() * unit;
        double cost = shape.measure == null ? guess : shape.measure.mean(guess);
        double high = shape.measure == null ? guess : shape.measure.high();
        return ruled(shape.facts, shape, cost, high, client);
    }

    private Classification ruled(ShapeFacts facts, Shape shape, double cost, double high, ClientIdentity client) {
        if (facts.verdict() == StatementEffect.REFUSED) {
            return new Classification(
                    StatementEffect.REFUSED, shape, "", 0, cost, high, "", facts.why(), 0, null, false);
        }
        String fingerprint = shape == null ? "" : shape.fingerprint;
        for (Rule rule : rules.rules()) {
            if (rule.matches(facts, fingerprint, cost, client)) {
                String mark = rule.mark() == null ? null : mark(facts, rule.mark());
                if (rule.mark() == null || mark != null) {
                    return placed(
                            facts,
                            new Classification(
                                    facts.verdict(),
                                    shape,
                                    rule.group(),
                                    rules.nodes(),
                                    cost,
                                    high,
                                    rule.name(),
                                    facts.why(),
                                    rule.timeout(),
                                    mark,
                                    facts.opaque()),
                            rule.nodes());
                }
            }
        }
        String group = facts.verdict() == StatementEffect.READ ? rules.readGroup() : rules.writeGroup();
        return new Classification(
                facts.verdict(),
                shape,
                group,
                rules.nodes(),
                cost,
                high,
                "default",
                facts.why(),
                0,
                null,
                facts.opaque());
    }

    /** The text of the outcome key; null unless the statement has exactly one as a plain literal. */
    private String mark(ShapeFacts facts, String column) {
        Place place = facts.keys().get(column);
        return place == null || shaper.rows(place.token()) > 1 ? null : literal(facts, place, 0);
    }

    private Classification placed(ShapeFacts facts, Classification classed, Placement nodes) {
        if (nodes == null) {
            return classed;
        } else if (nodes.column() == null) {
            return classed.at(nodes.groups().get(0));
        }
        Place place = facts.keys().get(nodes.column());
        if (place == null) {
            return classed.refused("no literal for " + nodes.column() + ", which tells the group of nodes");
        }
        int found = -1;
        for (int row = 0; row < Math.max(1, shaper.rows(place.token())); row++) {
            String key = literal(facts, place, row);
            if (key == null) {
                return classed.refused("the literal for " + nodes.column() + " is in no plain form");
            }
            long hash = NAMES.hashBytesTo128Bits(key.getBytes(StandardCharsets.UTF_8))
                    .getAsLong();
            int group = nodes.groups()
                    .get((int) Long.remainderUnsigned(hash, nodes.groups().size()));
            if (found >= 0 && group != found) {
                return classed.refused("rows of several groups of nodes");
            }
            found = group;
        }
        return classed.at(found);
    }

    /** The literal at this position of the current statement: digits or the text of a string; null if it is neither. */
    private String literal(ShapeFacts facts, Place place, int row) {
        if (facts.inserts() && shaper.width(tokens, place.token()) != place.width()) {
            return null;
        }
        int i = shaper.element(tokens, place.token(), row, place.element());
        return i < 0 || tokens.kinds[i] != Kind.LITERAL
                ? null
                : Literals.text(tokens.text, tokens.from[i], tokens.to[i]);
    }
}
