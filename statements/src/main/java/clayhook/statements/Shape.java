package clayhook.statements;

import java.nio.charset.StandardCharsets;

/**
 * A shape: the text that statements differing only in literals and formatting have in common, with the facts found by
 * its analysis and the service times of its statements.
 */
public final class Shape {
    /** Bytes for what the cache holds in addition to the text: entry, key, counts and the fingerprint. */
    private static final int ENTRY_BYTES = 400;

    /** The rules by which the facts were found. */
    final RulesGeneration generation;

    final byte[] text;
    final String fingerprint;
    /** Changes at most once: when a node refuses to run the shape as a read. */
    ShapeFacts facts;
    /** Null until the second answer, because in a flood of new shapes most occur only once. */
    ServiceTimes serviceTimes;
    /** The service time of the previous answer in seconds, of which only the first is used; 0 before it. */
    private double previousSeconds;

    Shape(RulesGeneration generation, byte[] text, String fingerprint, ShapeFacts facts) {
        this.generation = generation;
        this.text = text;
        this.fingerprint = fingerprint;
        this.facts = facts;
    }

    /** The hash of the shape, 128 bits in hexadecimal, which is the same at all routers. */
    public String fingerprint() {
        return fingerprint;
    }

    /** Records the service time of an answered statement; returns whether the weight of the shape has increased. */
    boolean recordServiceTime(double seconds) {
        boolean secondAnswer = previousSeconds > 0 && serviceTimes == null;
        if (secondAnswer) {
            serviceTimes = new ServiceTimes();
            serviceTimes.add(previousSeconds);
        }
        if (serviceTimes != null) {
            serviceTimes.add(seconds);
        }
        previousSeconds = seconds;
        return secondAnswer;
    }

    /** The estimated size in bytes. */
    int weight() {
        return ENTRY_BYTES + text.length + facts.weight() + (serviceTimes == null ? 0 : ServiceTimes.ESTIMATED_BYTES);
    }

    @Override
    public String toString() {
        return new String(text, StandardCharsets.UTF_8);
    }
}
