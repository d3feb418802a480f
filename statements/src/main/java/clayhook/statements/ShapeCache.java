package clayhook.statements;

import com.dynatrace.hash4j.hashing.Hasher128;
import com.dynatrace.hash4j.hashing.Hashing;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Arrays;

/**
 * The shapes seen lately, within a bound of bytes. A shape that is new stays only if it comes more often than the one
 * that it would push out, so a flood of shapes that come once leaves those that repeat. A hit compares the whole shape:
 * a collision of hashes, chosen or not, finds nothing.
 */
final class ShapeCache {
    /** Of the bound: a longer shape is never kept. */
    private static final int LARGEST_PART = 16;

    private record Key(byte[] bytes, int length, long hash) implements Comparable<Key> {
        @Override
        public int hashCode() {
            return Long.hashCode(hash);
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Key key
                    && key.hash == hash
                    && Arrays.equals(bytes, 0, length, key.bytes, 0, key.length);
        }

        /** Guards against keys of one hash: the table can order them. */
        @Override
        public int compareTo(Key other) {
            return Arrays.compareUnsigned(bytes, 0, length, other.bytes, 0, other.length);
        }
    }

    private final Cache<Key, Shape> shapes;
    private final Hash hash;
    private final long bound;

    /** {@code seed}: unknown to clients, so that they cannot choose shapes whose hashes are alike. */
    static ShapeCache seeded(long bytes, int seed) {
        Hasher128 hasher = Hashing.murmur3_128(seed);
        return new ShapeCache(bytes, (shape, length) -> hasher.hashBytesTo128Bits(shape, 0, length)
                .getAsLong());
    }

    /** What finds a shape's place in the table. */
    interface Hash {
        long of(byte[] shape, int length);
    }

    ShapeCache(long bytes, Hash hash) {
        bound = bytes;
        this.hash = hash;
        shapes = Caffeine.newBuilder()
                .maximumWeight(bytes)
                .weigher((Key key, Shape shape) -> shape.weight())
                .executor(Runnable::run)
                .build();
    }

    /** Null if it is not kept. */
    Shape get(ShapeBuilder shape) {
        return shapes.getIfPresent(key(shape.bytes, shape.length));
    }

    void put(Shape shape) {
        if (shape.weight() <= bound / LARGEST_PART) {
            shapes.put(key(shape.text, shape.text.length), shape);
        }
    }

    private Key key(byte[] bytes, int length) {
        return new Key(bytes, length, hash.of(bytes, length));
    }

    /** Takes effect of what was put; for figures. */
    long size() {
        shapes.cleanUp();
        return shapes.estimatedSize();
    }

    long weight() {
        shapes.cleanUp();
        return shapes.policy().eviction().orElseThrow().weightedSize().orElse(0);
    }
}
