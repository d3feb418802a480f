package clayhook.lab.model;

import java.util.PriorityQueue;

/**
 * A scheduler in virtual time: runs events in order of time, then in order of scheduling. An event is removed when it
 * runs.
 */
public final class VirtualScheduler implements Scheduler {
    private record Event(double time, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time ? Double.compare(time, other.time) : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> due = new PriorityQueue<>();
    private double now;
    private long made;

    /** @param start initial time in seconds, in the range of a wall clock */
    public VirtualScheduler(double start) {
        now = start;
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public void at(double time, Runnable what) {
        due.add(new Event(Math.max(now, time), made++, what));
    }

    /** Runs all events due up to the given time, then sets the clock to it. */
    public void run(double until) {
        while (!due.isEmpty() && due.peek().time() <= until) {
            Event next = due.poll();
            now = next.time();
            next.what().run();
        }
        now = until;
    }

    /** Number of events scheduled so far, including those that have run. */
    public long made() {
        return made;
    }
}
