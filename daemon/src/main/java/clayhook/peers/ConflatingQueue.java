package clayhook.peers;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * From a thread to the router's loop: of each key the latest value, and never more than one task that waits on the
 * loop. Guards against a loop that is late and finds a pile of news, most of it overtaken.
 */
final class ConflatingQueue<K, V> {
    /** Values handed over in one turn of the loop, tens of microseconds of it; the rest in the next. */
    static final int MAX_BATCH = 256;

    private final Executor loop;
    private final Consumer<Map<K, V>> consumer;
    /** No more keys than there are entries of the kind; emptied on the loop. */
    private final Map<K, V> latest = new ConcurrentHashMap<>();

    private final AtomicBoolean drainScheduled = new AtomicBoolean();

    ConflatingQueue(Executor loop, Consumer<Map<K, V>> to) {
        this.loop = loop;
        this.consumer = to;
    }

    void put(K key, V value) {
        latest.put(key, value);
        scheduleDrain();
    }

    private void scheduleDrain() {
        if (drainScheduled.compareAndSet(false, true)) {
            try {
                loop.execute(this::drain);
            } catch (RejectedExecutionException e) {
                latest.clear(); // the loop has ended
            }
        }
    }

    private void drain() {
        drainScheduled.set(false);
        var batch = new HashMap<K, V>();
        for (K key : latest.keySet()) {
            if (batch.size() == MAX_BATCH) {
                scheduleDrain();
                break;
            }
            V value = latest.remove(key);
            if (value != null) {
                batch.put(key, value);
            }
        }
        consumer.accept(batch);
    }
}
