package clayhook.statements;

import java.nio.charset.StandardCharsets;

/** A shape, what was read off it, and how long its statements took. */
public final class Shape {
    /** What the cache keeps beside it: node, key, counts, the fingerprint's text. */
    private static final int ENTRY = 400;

    final byte[] text;
    final String fingerprint;
    /** Changes once at the most: where a node shows that the shape writes. */
    ShapeFacts facts;
    /** Null until a second answer: most shapes of a flood are seen once. */
    ServiceTimes measure;
    /** Seconds of the first answer; 0 before it. */
    private double first;

    Shape(byte[] text, String fingerprint, ShapeFacts facts) {
        this.text = text;
        this.fingerprint = fingerprint;
        this.facts = facts;
    }

    /** 128 bits in hex, the same at every router. */
    public String fingerprint() {
        return fingerprint;
    }

    /** A statement of it was answered; true if it weighs more by that. */
    boolean took(double seconds) {
        boolean second = first > 0 && measure == null;
        if (second) {
            measure = new ServiceTimes();
            measure.add(first);
        }
        if (measure != null) {
            measure.add(seconds);
        }
        first = seconds;
        return second;
    }

    int weight() {
        return ENTRY + text.length + facts.weight() + (measure == null ? 0 : ServiceTimes.WEIGHT);
    }

    @Override
    public String toString() {
        return new String(text, StandardCharsets.UTF_8);
    }
}
