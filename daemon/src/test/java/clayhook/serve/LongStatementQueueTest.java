package clayhook.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/** The queue in virtual time, on a loop that runs one due task after the other. */
class LongStatementQueueTest {
    private static final long MILLI = 1_000_000;

    private record Task(long dueAt, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return Long.compare(dueAt, other.dueAt);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long now = -5 * MILLI;
    private final LongStatementQueue<Object> queue =
            new LongStatementQueue<>((task, delay) -> tasks.add(new Task(now + delay, task)), () -> now);

    private void runAll() {
        while (!tasks.isEmpty()) {
            Task next = tasks.remove();
            now = Math.max(now, next.dueAt());
            next.action().run();
        }
    }

    /**
     * Guards against an iteration that classifies the long statements of all clients, who then all wait for each other.
     */
    @Test
    void leavesLoopFreeForAsLongAsEachStatementTakes() {
        List<Long> starts = new ArrayList<>();
        List<Long> ends = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            queue.add(new Object(), () -> {
                starts.add(now);
                now += 13 * MILLI;
                ends.add(now);
            });
        }
        assertEquals(1, tasks.size());
        runAll();
        assertEquals(30, starts.size());
        for (int i = 1; i < starts.size(); i++) {
            assertTrue(starts.get(i) - ends.get(i - 1) >= 13 * MILLI);
        }
        long addedAt = now;
        queue.add(new Object(), () -> starts.add(now));
        runAll();
        assertEquals(addedAt + 13 * MILLI, starts.get(30), "the rest behind the last one counts too");
    }

    /** Guards against a statement whose fault leaves those behind it without an answer. */
    @Test
    void runsNextStatementAfterFault() {
        List<String> done = new ArrayList<>();
        queue.add(new Object(), () -> {
            throw new IllegalStateException("expected by the test");
        });
        queue.add(new Object(), () -> done.add("next"));
        runAll();
        queue.add(new Object(), () -> done.add("later"));
        runAll();
        assertEquals(List.of("next", "later"), done);
    }

    /** Guards against clients that send long statements and leave, whose statements would fill the memory. */
    @Test
    void holdsNoStatementOfSessionThatEnded() {
        List<String> done = new ArrayList<>();
        queue.add(new Object(), () -> done.add("first"));
        Object ended = new Object();
        queue.add(ended, () -> done.add("ended"));
        queue.add(new Object(), () -> done.add("last"));
        queue.remove(ended);
        assertEquals(2, queue.size());
        runAll();
        assertEquals(List.of("first", "last"), done);
        Object only = new Object();
        queue.add(only, () -> done.add("only"));
        queue.remove(only);
        runAll();
        assertEquals(2, done.size());
        assertEquals(0, queue.size());
    }
}
