package clayhook.statements;

import clayhook.statements.Rule.Placement;
import clayhook.statements.ShapeFacts.Place;
import clayhook.statements.TokenBuffer.Kind;
import com.dynatrace.hash4j.hashing.Hasher128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Classes statements. Not to be shared between threads. */
public final class Classifier {
    /** Every router gives a shape the same name, and a key the same group of nodes. */
    private static final Hasher128 NAMES = Hashing.murmur3_128(0);
    /** Seconds for reading one row, until answers have told better. */
    private static final double FIRST_UNIT = 0.001;
    /** The share of one answer in what a unit of work is believed to take. */
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

    /** What came since the last call of {@link #counts}. */
    public record Counts(long hits, long read, long unread) {}

    /** {@code seed}: the instance's own; clients must not know it. */
    public Classifier(StatementRules rules, long seed) {
        this.rules = rules;
        lexer = new Lexer(rules.conforming());
        reader = new ShapeAnalyzer(new HarmlessNames(rules));
        shapes = ShapeCache.seeded(rules.cacheBytes(), Long.hashCode(seed));
        turn();
    }

    /** A new turn of the loop has a new budget for shapes that were never read. */
    public void turn() {
        budget = rules.parseBudget();
    }

    /** Counts of statements whose shape was known, was read, or was not for want of budget. */
    public Counts counts() {
        var counts = new Counts(hits, read, unread);
        hits = read = unread = 0;
        return counts;
    }

    /** Shapes held; those that came once and were not let in are no part of it. */
    public long size() {
        return shapes.size();
    }

    /** Bytes that they take, by the cache's own reckoning. */
    public long weight() {
        return shapes.weight();
    }

    /** States of lookahead that the parser holds. */
    int states() {
        return reader.states();
    }

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
        // A whole budget always suffices for one: a shape is never too long to be read at all.
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

    /** The shape as text, for people. */
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

    /** A statement was answered after so many seconds. */
    public void took(Classification classed, double seconds) {
        Shape shape = classed.shape();
        if (shape != null && seconds > 0) {
            unit += LEARN * (seconds / shape.facts.work() - unit);
            if (shape.took(seconds)) {
                shapes.put(shape);
            }
        }
    }

    /** A node refused as a write what was classed as a read: its shape is one from now on. */
    public void wrote(Classification classed) {
        if (classed.shape() != null) {
            classed.shape().facts = classed.shape().facts.butWrites("a node would not run it as a read");
            shapes.put(classed.shape());
        }
    }

    // ---- the operator's rules ----

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

    /** The mark, if there is exactly one. */
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

    /** The literal of this statement in that place: digits, or the text of a string; null if it is neither. */
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
