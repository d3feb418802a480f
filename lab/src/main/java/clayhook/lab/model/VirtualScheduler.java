package clayhook.lab.model;

import java.util.PriorityQueue;

/** Virtual time: what is due, in order of time and then of its making. What has happened leaves. */
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

    /** {@code start}: a time in seconds, as a clock would tell it. */
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

    /** Lets all happen that is due up to then. */
    public void run(double until) {
        while (!due.isEmpty() && due.peek().time() <= until) {
            Event next = due.poll();
            now = next.time();
            next.what().run();
        }
        now = until;
    }

    /** How many events have happened or wait to. */
    public long made() {
        return made;
    }
}
