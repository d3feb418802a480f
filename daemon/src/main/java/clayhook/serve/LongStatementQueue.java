package clayhook.serve;

import java.util.ArrayDeque;
import java.util.function.LongSupplier;

/**
 * Classifies long statements, which takes milliseconds each, one in an event loop iteration. Behind each the loop is
 * free for as long as that one took, so that other clients wait for one of them at most, however many clients send
 * them. Holds one statement for each session, since a session waits for its answer; empties itself. Event loop only.
 */
final class LongStatementQueue {
    /**
     * The longest statement, in bytes, that is classified at once; this takes less than a millisecond but for a parse.
     */
    static final int MAX_SHORT_BYTES = 8 << 10;

    /** Runs tasks on the event loop. */
    interface Scheduler {
        /** Runs a task after the delay in nanoseconds, behind the socket reads of an event loop iteration. */
        void schedule(Runnable task, long delayNanos);
    }

    private final Scheduler scheduler;
    private final LongSupplier nanoTime;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
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

    void add(Runnable classification) {
        waiting.add(classification);
        schedule();
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            scheduler.schedule(this::runNext, Math.max(0, freeUntil - nanoTime.getAsLong()));
        }
    }

    private void runNext() {
        scheduled = false;
        long startedAt = nanoTime.getAsLong();
        FaultBarrier.run(waiting.remove());
        long endedAt = nanoTime.getAsLong();
        freeUntil = endedAt + (endedAt - startedAt);
        if (!waiting.isEmpty()) {
            schedule();
        }
    }
}
