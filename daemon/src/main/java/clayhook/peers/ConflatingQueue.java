package clayhook.peers;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * A queue from any thread to the event loop that keeps only the latest value of each key and schedules at most one task
 * on the event loop at a time. A delayed event loop therefore never processes a backlog of outdated values.
 */
final class ConflatingQueue<K, V> {
    /** Values delivered in one task, which takes tens of microseconds; the rest are delivered in the next task. */
    static final int MAX_BATCH = 256;

    private final Executor eventLoop;
    private final Consumer<Map<K, V>> consumer;
    /** Values not yet delivered, by key. Bounded by the number of keys in use; drained on the event loop. */
    private final Map<K, V> latest = new ConcurrentHashMap<>();

    private final AtomicBoolean drainScheduled = new AtomicBoolean();

    /** {@code consumer} is called on {@code eventLoop}. */
    ConflatingQueue(Executor eventLoop, Consumer<Map<K, V>> consumer) {
        this.eventLoop = eventLoop;
        this.consumer = consumer;
    }

    /** Adds a value, or replaces the value of that key if it has not been delivered yet. For any thread. */
    void put(K key, V value) {
        latest.put(key, value);
        scheduleDrain();
    }

    private void scheduleDrain() {
        if (drainScheduled.compareAndSet(false, true)) {
            try {
                eventLoop.execute(this::drain);
            } catch (RejectedExecutionException e) {
                latest.clear(); // the event loop has ended
            }
        }
    }

    private void drain() {
        drainScheduled.set(false);
        var batch = new HashMap<K, V>();
        // The iterator is weakly consistent: it tolerates concurrent puts by other threads and the removals below.
        for (Iterator<K> keys = latest.keySet().iterator(); keys.hasNext(); ) {
            if (batch.size() == MAX_BATCH) {
                scheduleDrain();
                break;
            }
            K key = keys.next();
            V value = latest.remove(key);
            if (value != null) {
                batch.put(key, value);
            }
        }
        consumer.accept(batch);
    }
}
