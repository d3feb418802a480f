package clayhook.statements;

import clayhook.statements.Rule.Placement;
import clayhook.statements.ShapeFacts.LiteralPosition;
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
    private static final Hasher128 HASHER = Hashing.murmur3_128(0);
    /** Initial estimate, in seconds, of the time to read one row; used until answers have been measured. */
    private static final double INITIAL_SECONDS_PER_WORK_UNIT = 0.001;
    /** The weight of one answer in the moving average of the seconds that a unit of work takes. */
    private static final double MOVING_AVERAGE_WEIGHT = 0.01;

    private final RulesGeneration generation = new RulesGeneration();
    private final StatementRules rules;
    private final Lexer lexer;
    private final TokenBuffer tokens = new TokenBuffer();
    private final ShapeBuilder shapeBuilder = new ShapeBuilder();
    private final ShapeAnalyzer analyzer;
    private final ShapeCache shapeCache;
    private double secondsPerWorkUnit = INITIAL_SECONDS_PER_WORK_UNIT;
    private int remainingBudget;
    private long hits;
    private long parsed;
    private long overBudget;

    /**
     * Numbers of statements since the previous call of {@link #counts}.
     *
     * @param hits statements whose shape was in the cache
     * @param parsed statements whose shape was parsed
     * @param overBudget statements whose shape was not parsed because the parse budget of the tick was used up
     */
    public record Counts(long hits, long parsed, long overBudget) {}

    /**
     * Creates a classifier with an empty cache.
     *
     * @param seed the hash seed of the cache, individual to this instance; it must be unknown to clients
     */
    public Classifier(StatementRules rules, long seed) {
        this.rules = rules;
        lexer = new Lexer(rules.standardConformingStrings());
        analyzer = new ShapeAnalyzer(new HarmlessNames(rules));
        shapeCache = ShapeCache.seeded(rules.cacheBytes(), Long.hashCode(seed));
        beginTick();
    }

    /** Starts a tick of the event loop, which renews the budget for parsing shapes that are not in the cache. */
    public void beginTick() {
        remainingBudget = rules.parseBudget();
    }

    /** Returns the counts since the previous call and resets them. */
    public Counts counts() {
        var counts = new Counts(hits, parsed, overBudget);
        hits = parsed = overBudget = 0;
        return counts;
    }

    /** The number of cached shapes, without those that the cache did not admit after a single occurrence. */
    public long size() {
        return shapeCache.size();
    }

    /** The estimated size of the cached shapes in bytes, as computed by the cache's weigher. */
    public long weight() {
        return shapeCache.weight();
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
        if (tokens.error != null) {
            return applyRules(
                    ShapeFacts.unanalyzed(StatementEffect.WRITE, tokens.error, "", true),
                    null,
                    secondsPerWorkUnit,
                    secondsPerWorkUnit,
                    client);
        }
        shapeBuilder.build(tokens);
        Shape shape = shapeCache.get(shapeBuilder);
        if (shape != null) {
            hits++;
            return applyRules(shape, client);
        }
        int size = Math.min(shapeBuilder.tokens.size, ShapeAnalyzer.MAX_TOKENS);
        // An unused budget is always sufficient for one shape, so that no shape is too long to be ever parsed.
        if (size > remainingBudget && remainingBudget < rules.parseBudget()) {
            overBudget++;
            ShapeFacts facts = ShapeFacts.unanalyzed(
                    rules.refuseOverBudget() ? StatementEffect.REFUSED : StatementEffect.WRITE,
                    "more new shapes in a turn than are read",
                    "",
                    true);
            return applyRules(facts, null, secondsPerWorkUnit, secondsPerWorkUnit, client);
        }
        remainingBudget -= size;
        parsed++;
        byte[] bytes = Arrays.copyOf(shapeBuilder.bytes, shapeBuilder.length);
        shape = new Shape(generation, bytes, fingerprint(bytes), analyzer.analyze(shapeBuilder.tokens, tokens));
        shapeCache.put(shape);
        return applyRules(shape, client);
    }

    /** The shape of a statement as readable text; empty if the statement cannot be split into tokens. */
    public String shape(byte[] text) {
        lexer.lex(text, tokens);
        if (tokens.error != null) {
            return "";
        }
        shapeBuilder.build(tokens);
        return new String(shapeBuilder.bytes, 0, shapeBuilder.length, StandardCharsets.UTF_8);
    }

    private static String fingerprint(byte[] shape) {
        var hash = HASHER.hashBytesTo128Bits(shape);
        return String.format("%016x%016x", hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    /** Whether a classification was made by the rules of this classifier; unanalyzed statements have no rules. */
    public boolean isCurrent(Classification classification) {
        return classification.shape() == null || classification.shape().generation == generation;
    }

    /**
     * Records the service time of an answered statement in the cost estimate of its shape and of a unit of work.
     * Ignores classifications by earlier rules: their shapes hold what those rules found.
     *
     * @param seconds the time until the answer; ignored unless positive
     */
    public void recordServiceTime(Classification classification, double seconds) {
        Shape shape = classification.shape();
        if (shape != null && isCurrent(classification) && seconds > 0) {
            secondsPerWorkUnit += MOVING_AVERAGE_WEIGHT * (seconds / shape.facts.work() - secondsPerWorkUnit);
            if (shape.recordServiceTime(seconds)) {
                shapeCache.put(shape);
            }
        }
    }

    /**
     * Classifies all statements of a shape as writes from now on, because a node refused to run one as a read.
     *
     * @param classification the classification by which the statement was sent, possibly by earlier rules
     * @param text the statement, which is classified by the current rules if the classification is not
     */
    public void reclassifyAsWrite(Classification classification, byte[] text, ClientIdentity client) {
        Shape shape = isCurrent(classification)
                ? classification.shape()
                : classify(text, client).shape();
        if (shape != null) {
            shape.facts = shape.facts.asWrite("a node would not run it as a read");
            shapeCache.put(shape);
        }
    }

    // ---- operator rules ----

    private Classification applyRules(Shape shape, ClientIdentity client) {
        double estimate = shape.facts.work() * secondsPerWorkUnit;
        double cost = shape.serviceTimes == null ? estimate : shape.serviceTimes.mean(estimate);
        double high = shape.serviceTimes == null ? estimate : shape.serviceTimes.highPercentile();
        return applyRules(shape.facts, shape, cost, high, client);
    }

    private Classification applyRules(ShapeFacts facts, Shape shape, double cost, double high, ClientIdentity client) {
        if (facts.verdict() == StatementEffect.REFUSED) {
            return new Classification(
                    StatementEffect.REFUSED, shape, "", 0, cost, high, "", facts.reason(), 0, null, false);
        }
        String fingerprint = shape == null ? "" : shape.fingerprint;
        for (Rule rule : rules.rules()) {
            if (rule.matches(facts, fingerprint, cost, client)) {
                String outcomeKey = rule.outcomeKeyColumn() == null ? null : outcomeKey(facts, rule.outcomeKeyColumn());
                if (rule.outcomeKeyColumn() == null || outcomeKey != null) {
                    return applyPlacement(
                            facts,
                            new Classification(
                                    facts.verdict(),
                                    shape,
                                    rule.requestClass(),
                                    rules.replicaSetId(),
                                    cost,
                                    high,
                                    rule.name(),
                                    facts.reason(),
                                    rule.timeoutSeconds(),
                                    outcomeKey,
                                    facts.mayChangeSession()),
                            rule.placement());
                }
            }
        }
        String requestClass =
                facts.verdict() == StatementEffect.READ ? rules.readRequestClass() : rules.writeRequestClass();
        return new Classification(
                facts.verdict(),
                shape,
                requestClass,
                rules.replicaSetId(),
                cost,
                high,
                "default",
                facts.reason(),
                0,
                null,
                facts.mayChangeSession());
    }

    /** The text of the outcome key; null unless the statement has exactly one as a plain literal. */
    private String outcomeKey(ShapeFacts facts, String column) {
        LiteralPosition position = facts.literalPositions().get(column);
        return position == null || shapeBuilder.rowCount(position.token()) > 1 || !hasExpectedWidth(facts, position)
                ? null
                : literalText(position, shapeBuilder.firstRow(position.token()));
    }

    private Classification applyPlacement(ShapeFacts facts, Classification classification, Placement placement) {
        if (placement == null) {
            return classification;
        } else if (placement.column() == null) {
            return classification.withReplicaSet(placement.replicaSetIds().get(0));
        }
        LiteralPosition position = facts.literalPositions().get(placement.column());
        if (position == null) {
            return classification.refused("no literal for " + placement.column() + ", which tells the group of nodes");
        }
        boolean hasExpectedWidth = hasExpectedWidth(facts, position);
        int chosen = -1;
        int row = shapeBuilder.firstRow(position.token());
        for (int rows = Math.max(1, shapeBuilder.rowCount(position.token())); rows > 0; rows--) {
            String key = hasExpectedWidth ? literalText(position, row) : null;
            if (key == null) {
                return classification.refused("the literal for " + placement.column() + " is in no plain form");
            }
            row = rows > 1 ? shapeBuilder.nextRow(tokens, row) : row;
            long hash = HASHER.hashBytesTo128Bits(key.getBytes(StandardCharsets.UTF_8))
                    .getAsLong();
            int replicaSetId = placement.replicaSetIds().get((int)
                    Long.remainderUnsigned(hash, placement.replicaSetIds().size()));
            if (chosen >= 0 && replicaSetId != chosen) {
                return classification.refused("rows of several groups of nodes");
            }
            chosen = replicaSetId;
        }
        return classification.withReplicaSet(chosen);
    }

    /** Whether each row of the current statement has as many elements as the shape has columns. */
    private boolean hasExpectedWidth(ShapeFacts facts, LiteralPosition position) {
        return !facts.insertsRows() || shapeBuilder.rowWidth(tokens, position.token()) == position.width();
    }

    /** The literal in the row that begins at this token: digits or the text of a string; null if it is neither. */
    private String literalText(LiteralPosition position, int row) {
        int i = shapeBuilder.elementToken(tokens, position.token(), row, position.element());
        return i < 0 || tokens.kinds[i] != Kind.LITERAL
                ? null
                : Literals.canonicalText(tokens.text, tokens.starts[i], tokens.ends[i]);
    }
}
