package clayhook.peers;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;
import org.jctools.queues.MpscChunkedArrayQueue;

/**
 * A bounded queue from the event loop to the gossip thread. Producers never block: if the queue is full, an event is
 * dropped and counted. The gossip thread drains the queue on each iteration.
 */
final class EventQueue {
    /** Capacity for replaceable events: several seconds of answers at the highest rate. */
    static final int REPLACEABLE_CAPACITY = 1 << 13;
    /** Capacity for events that are never repeated: several minutes of them. The queue grows on demand up to it. */
    static final int ESSENTIAL_CAPACITY = 1 << 17;

    private static final int ESSENTIAL_INITIAL_CAPACITY = 1 << 8;
    /** Events drained per call of {@link #drain}, which takes a few milliseconds. */
    private static final int MAX_BATCH = 1 << 12;

    private final Queue<LocalEvent> replaceable = new MpscArrayQueue<>(REPLACEABLE_CAPACITY);
    private final Queue<LocalEvent> essential =
            new MpscChunkedArrayQueue<>(ESSENTIAL_INITIAL_CAPACITY, ESSENTIAL_CAPACITY);
    private final LongAdder droppedReplaceable = new LongAdder();
    private final LongAdder droppedEssential = new LongAdder();
    private final Runnable wakeUp;
    /** Whether the consumer waits; producers wake it only then. */
    private volatile boolean consumerWaiting;

    /** {@code wakeUp} ends the wait of the consumer; it is called on the threads of producers. */
    EventQueue(Runnable wakeUp) {
        this.wakeUp = wakeUp;
    }

    /** Adds an event, or drops and counts it if the queue is full. For any thread; never blocks. */
    void add(LocalEvent event) {
        boolean isReplaceable = event instanceof LocalEvent.AttemptFinished || event instanceof LocalEvent.QuotaUsed;
        if (!(isReplaceable ? replaceable : essential).offer(event)) {
            (isReplaceable ? droppedReplaceable : droppedEssential).increment();
        } else if (consumerWaiting) {
            consumerWaiting = false;
            wakeUp.run();
        }
    }

    /** Passes a batch to {@code consumer}, essential events first; returns its size. For the consumer's thread. */
    int drain(Consumer<LocalEvent> consumer) {
        int count = 0;
        for (Queue<LocalEvent> queue : List.of(essential, replaceable)) {
            for (LocalEvent event; count < MAX_BATCH && (event = queue.poll()) != null; count++) {
                consumer.accept(event);
            }
        }
        return count;
    }

    /**
     * Announces that the consumer is about to wait; returns false if events are left, so that it must not wait. For the
     * consumer's thread.
     */
    boolean beginWait() {
        consumerWaiting = true; // set before the queues are read, so that a producer that adds an event later sees it
        consumerWaiting = replaceable.isEmpty() && essential.isEmpty();
        return consumerWaiting;
    }

    /** Announces that the consumer has stopped waiting. For the consumer's thread. */
    void endWait() {
        consumerWaiting = false;
    }

    /** The number of replaceable events dropped since the start. */
    long droppedReplaceable() {
        return droppedReplaceable.sum();
    }

    /** The number of essential events dropped since the start; peers may never receive their content. */
    long droppedEssential() {
        return droppedEssential.sum();
    }
}
