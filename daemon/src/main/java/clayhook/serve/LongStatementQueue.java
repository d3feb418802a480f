package clayhook.serve;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Classifies long statements, which takes milliseconds each, one in an event loop iteration. Behind each the loop is
 * free for as long as that one took, so that other clients wait for one of them at most, however many clients send
 * them. Holds at most one statement for each open session: it empties itself, and that of a session that ends is
 * removed. Event loop only.
 *
 * @param <S> the sessions
 */
final class LongStatementQueue<S> {
    /** The longest statement, in bytes, that is classified at once. */
    static final int MAX_SHORT_BYTES = 8 << 10;

    /** Runs tasks on the event loop. */
    interface Scheduler {
        /** Runs a task after the delay in nanoseconds, behind the socket reads of an event loop iteration. */
        void schedule(Runnable task, long delayNanos);
    }

    private final Scheduler scheduler;
    private final LongSupplier nanoTime;
    /** The classification to run by session, in the order of arrival. */
    private final Map<S, Runnable> waiting = new LinkedHashMap<>();

    private boolean scheduled;
    /** The monotonic time until which the loop is left free. */
    private long freeUntil;

    LongStatementQueue(Scheduler scheduler, LongSupplier nanoTime) {
        this.scheduler = scheduler;
        this.nanoTime = nanoTime;
        freeUntil = nanoTime.getAsLong();
    }

    /** Whether a statement of this length goes through the queue. */
    static boolean isLong(int bytes) {
        return bytes > MAX_SHORT_BYTES;
    }

    /** Adds the statement for whose answer a session waits. */
    void add(S session, Runnable classification) {
        waiting.put(session, classification);
        schedule();
    }

    /** The number of statements that wait. */
    int size() {
        return waiting.size();
    }

    /** Removes the statement of a session that has ended, if it still waits. */
    void remove(S session) {
        waiting.remove(session);
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            scheduler.schedule(this::runNext, Math.max(0, freeUntil - nanoTime.getAsLong()));
        }
    }

    private void runNext() {
        scheduled = false;
        if (waiting.isEmpty()) {
            return;
        }
        long startedAt = nanoTime.getAsLong();
        S first = waiting.keySet().iterator().next();
        FaultBarrier.run(waiting.remove(first));
        long endedAt = nanoTime.getAsLong();
        freeUntil = endedAt + (endedAt - startedAt);
        if (!waiting.isEmpty()) {
            schedule();
        }
    }
}
