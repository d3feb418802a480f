package clayhook.lab.model;

import java.util.PriorityQueue;

/**
 * A scheduler in virtual time: runs events in order of time, then in order of scheduling. An event is removed when it
 * runs.
 */
public final class VirtualScheduler implements Scheduler {
    private record Event(double time, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time ? Double.compare(time, other.time) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> pending = new PriorityQueue<>();
    private double now;
    private long scheduledEvents;

    /** @param start initial time in seconds, in the range of a wall clock */
    public VirtualScheduler(double start) {
        now = start;
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public void scheduleAt(double time, Runnable task) {
        pending.add(new Event(Math.max(now, time), scheduledEvents++, task));
    }

    /** Runs all events due up to the given time, then sets the clock to it. */
    public void runUntil(double until) {
        while (!pending.isEmpty() && pending.peek().time() <= until) {
            Event next = pending.poll();
            now = next.time();
            next.task().run();
        }
        now = until;
    }

    /** Number of events scheduled so far, including those that have run. */
    public long scheduledEvents() {
        return scheduledEvents;
    }
}
