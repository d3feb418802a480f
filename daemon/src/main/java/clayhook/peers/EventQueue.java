package clayhook.peers;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;
import org.jctools.queues.MpscChunkedArrayQueue;

/**
 * A bounded queue from the event loop to the gossip thread. The producer never blocks: an event that finds no room is
 * dropped and counted. The gossip thread drains the queue on each iteration.
 */
final class EventQueue {
    /** Room for replaceable events: some seconds of answers at the highest rate. */
    static final int REPLACEABLE_CAPACITY = 1 << 13;
    /** Room for events that are never repeated: some minutes of them. Grows on demand up to this. */
    static final int ESSENTIAL_CAPACITY = 1 << 17;

    private static final int ESSENTIAL_INITIAL_CAPACITY = 1 << 8;
    /** Events drained at once, which takes a few milliseconds. */
    private static final int MAX_BATCH = 1 << 12;

    private final Queue<LocalEvent> replaceable = new MpscArrayQueue<>(REPLACEABLE_CAPACITY);
    private final Queue<LocalEvent> essential =
            new MpscChunkedArrayQueue<>(ESSENTIAL_INITIAL_CAPACITY, ESSENTIAL_CAPACITY);
    private final LongAdder droppedReplaceable = new LongAdder();
    private final LongAdder droppedEssential = new LongAdder();
    private final Runnable wakeUp;
    /** Set while the consumer waits, so that a producer wakes it only then. */
    private volatile boolean consumerWaiting;

    /** {@code wakeUp} ends the wait of the consumer; it is called by producers. */
    EventQueue(Runnable wakeUp) {
        this.wakeUp = wakeUp;
    }

    /** Adds an event, or drops and counts it where there is no room. For any thread; never blocks. */
    void add(LocalEvent event) {
        boolean isReplaceable = event instanceof LocalEvent.AttemptFinished || event instanceof LocalEvent.QuotaUsed;
        if (!(isReplaceable ? replaceable : essential).offer(event)) {
            (isReplaceable ? droppedReplaceable : droppedEssential).increment();
        } else if (consumerWaiting) {
            consumerWaiting = false;
            wakeUp.run();
        }
    }

    /** Hands over a batch, essential events first; returns how many. For the consumer. */
    int drain(Consumer<LocalEvent> consumer) {
        int count = 0;
        for (Queue<LocalEvent> queue : List.of(essential, replaceable)) {
            for (LocalEvent event; count < MAX_BATCH && (event = queue.poll()) != null; count++) {
                consumer.accept(event);
            }
        }
        return count;
    }

    /** Announces that the consumer is about to wait; false where events are left and it must not. For the consumer. */
    boolean beginWait() {
        consumerWaiting = true; // before the queues are read, so that an event added after that sees it
        consumerWaiting = replaceable.isEmpty() && essential.isEmpty();
        return consumerWaiting;
    }

    /** The consumer waits no more. */
    void endWait() {
        consumerWaiting = false;
    }

    /** Replaceable events dropped since the start. */
    long droppedReplaceable() {
        return droppedReplaceable.sum();
    }

    /** Essential events dropped since the start: what peers may lack for good. */
    long droppedEssential() {
        return droppedEssential.sum();
    }
}
