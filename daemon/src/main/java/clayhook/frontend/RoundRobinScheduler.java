package clayhook.frontend;

import clayhook.log.Log;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Gives the sessions that have input left over time slices, one after the other, in which each handles a bounded number
 * of messages. The slices of one event loop iteration are bounded in time, so that sockets and timers are served
 * between them whatever clients send. Confined to the event loop.
 */
final class RoundRobinScheduler {
    /** A session that can be given time slices. */
    interface Session {
        /** Handles some of the input that is left over; calls {@link #add} if there is more. */
        void runSlice();

        /** Handles an exception that its slice has thrown. */
        void onException();
    }

    /** The time for the slices of one event loop iteration; short compared to the time limits of requests. */
    private static final long MAX_ITERATION_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final EventLoop loop;
    /**
     * The sessions that wait for a slice, each at most once. Emptied slice by slice; ended sessions do nothing in
     * theirs.
     */
    private final ArrayDeque<Session> waiting = new ArrayDeque<>();

    private boolean scheduled;

    RoundRobinScheduler(EventLoop loop) {
        this.loop = loop;
    }

    /** Appends a session, which must not be waiting yet. */
    void add(Session session) {
        waiting.add(session);
        schedule();
    }

    /**
     * Schedules the next slices behind the socket reads of the next iteration. A task that is executed from a task
     * would run before them.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing waits for the slices
    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            loop.schedule(this::runSlices, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void runSlices() {
        scheduled = false;
        long startedAt = System.nanoTime();
        int remaining = waiting.size();
        while (remaining > 0 && System.nanoTime() - startedAt < MAX_ITERATION_NANOS) {
            remaining--;
            runSlice(waiting.poll());
        }
        if (!waiting.isEmpty()) {
            schedule();
        }
    }

    private static void runSlice(Session session) {
        try {
            session.runSlice();
        } catch (RuntimeException e) {
            Log.error("the time slice of a client session failed", e);
            session.onException();
        }
    }
}
