package clayhook.peers;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;
import org.jctools.queues.MpscChunkedArrayQueue;

/**
 * The way from the router's loop to the peers' thread. Who puts news in never waits; what finds no room is dropped and
 * counted. The thread empties it each turn.
 */
final class EventQueue {
    /** What can be told again: some seconds of answers at the busiest. */
    static final int REPLACEABLE_CAPACITY = 1 << 13;
    /** What cannot: grows by need up to minutes of it. */
    static final int ESSENTIAL_CAPACITY = 1 << 17;

    private static final int ESSENTIAL_INITIAL_CAPACITY = 1 << 8;
    /** Taken in one turn, a few milliseconds of it. */
    private static final int MAX_BATCH = 1 << 12;

    private final Queue<LocalEvent> replaceable = new MpscArrayQueue<>(REPLACEABLE_CAPACITY);
    private final Queue<LocalEvent> essential =
            new MpscChunkedArrayQueue<>(ESSENTIAL_INITIAL_CAPACITY, ESSENTIAL_CAPACITY);
    private final LongAdder droppedReplaceable = new LongAdder();
    private final LongAdder droppedEssential = new LongAdder();
    private final Runnable wakeUp;
    /** The thread waits for news, not for a moment. */
    private volatile boolean consumerWaiting;

    /** {@code waker} ends the wait of the thread; may be called from any. */
    EventQueue(Runnable waker) {
        this.wakeUp = waker;
    }

    /** For the router's loop. */
    void add(LocalEvent news) {
        boolean again = news instanceof LocalEvent.AttemptFinished || news instanceof LocalEvent.QuotaUsed;
        if (!(again ? replaceable : essential).offer(news)) {
            (again ? droppedReplaceable : droppedEssential).increment();
        } else if (consumerWaiting) {
            consumerWaiting = false;
            wakeUp.run();
        }
    }

    /** Hands over what is there; returns how much. */
    int drain(Consumer<LocalEvent> to) {
        int count = 0;
        for (Queue<LocalEvent> queue : List.of(essential, replaceable)) {
            for (LocalEvent news; count < MAX_BATCH && (news = queue.poll()) != null; count++) {
                to.accept(news);
            }
        }
        return count;
    }

    /** From now on news ends the wait; false where some is there already. */
    boolean beginWait() {
        consumerWaiting = true; // before the look, so that what is put in after it sees it
        consumerWaiting = replaceable.isEmpty() && essential.isEmpty();
        return consumerWaiting;
    }

    void endWait() {
        consumerWaiting = false;
    }

    /** News that will be told again and found no room, since the start. */
    long droppedReplaceable() {
        return droppedReplaceable.sum();
    }

    /** The same of news that will not: others may lack it for good. */
    long droppedEssential() {
        return droppedEssential.sum();
    }
}
