package clayhook.statements;

import com.dynatrace.hash4j.hashing.Hasher128;
import com.dynatrace.hash4j.hashing.Hashing;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Arrays;

/**
 * A cache of recently used shapes with a bound in bytes. A new shape is admitted only if it occurs more often than the
 * one it would evict, so that a flood of shapes that occur once does not evict those that repeat. A lookup compares the
 * whole shape, so that a hash collision, deliberate or not, never returns a different shape.
 */
final class ShapeCache {
    /** A shape whose weight exceeds the bound divided by this number is not cached. */
    private static final int MAX_SHAPE_DIVISOR = 16;

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

        /** Allows the hash table to order keys with the same hash, which keeps lookups fast if hashes collide. */
        @Override
        public int compareTo(Key other) {
            return Arrays.compareUnsigned(bytes, 0, length, other.bytes, 0, other.length);
        }
    }

    private final Cache<Key, Shape> shapes;
    private final Hash hash;
    private final long maxBytes;

    /**
     * Creates a cache with a seeded hash function.
     *
     * @param maxBytes the bound in bytes
     * @param seed must be unknown to clients, so that they cannot choose shapes with colliding hashes
     */
    static ShapeCache seeded(long maxBytes, int seed) {
        Hasher128 hasher = Hashing.murmur3_128(seed);
        return new ShapeCache(maxBytes, (shape, length) -> hasher.hashBytesTo128Bits(shape, 0, length)
                .getAsLong());
    }

    /** The hash function of the cache. */
    interface Hash {
        long of(byte[] shape, int length);
    }

    ShapeCache(long maxBytes, Hash hash) {
        this.maxBytes = maxBytes;
        this.hash = hash;
        shapes = Caffeine.newBuilder()
                .maximumWeight(maxBytes)
                .weigher((Key key, Shape shape) -> shape.weight())
                .executor(Runnable::run)
                .build();
    }

    /** The cached shape that equals the built one; null if there is none. */
    Shape get(ShapeBuilder shape) {
        return shapes.getIfPresent(key(shape.bytes, shape.length));
    }

    /** Adds a shape, or updates its weight. A shape that is too large is not cached. */
    void put(Shape shape) {
        if (shape.weight() <= maxBytes / MAX_SHAPE_DIVISOR) {
            shapes.put(key(shape.text, shape.text.length), shape);
        }
    }

    private Key key(byte[] bytes, int length) {
        return new Key(bytes, length, hash.of(bytes, length));
    }

    /** The number of cached shapes. Performs pending evictions first; meant for statistics. */
    long size() {
        shapes.cleanUp();
        return shapes.estimatedSize();
    }

    /** The estimated size of the cached shapes in bytes. Performs pending evictions first; meant for statistics. */
    long weight() {
        shapes.cleanUp();
        return shapes.policy().eviction().orElseThrow().weightedSize().orElse(0);
    }
}
