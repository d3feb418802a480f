package clayhook.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The cores of a machine and the queue before them, served in order. Work is conserved whatever the speed does. */
final class CpuModel {
    private final Scheduler timeline;
    private final int cores;
    private final int limit;
    /** Bounded by the limit of the queue. */
    private final ArrayDeque<NodeJob> queue = new ArrayDeque<>();

    private final List<NodeJob> running = new ArrayList<>();
    private double speed = 1;
    /** Seconds of a core that were worked, and when that was reckoned. */
    private double worked;

    CpuModel(Scheduler timeline, int cores, int limit) {
        this.timeline = timeline;
        this.cores = cores;
        this.limit = limit;
    }

    /** False if the queue is full. */
    boolean offer(NodeJob job) {
        if (running.size() < cores) {
            begin(job);
            return true;
        }
        return queue.size() < limit && queue.add(job);
    }

    private void begin(NodeJob job) {
        job.running = true;
        running.add(job);
        job.reckonedAt = timeline.now();
        plan(job);
    }

    /** Where the machine stands still, the end is planned once it moves again. */
    private void plan(NodeJob job) {
        int plan = ++job.plan;
        if (speed > 0) {
            timeline.in(job.work / speed, () -> {
                if (job.running && job.plan == plan) {
                    end(job);
                }
            });
        }
    }

    private void end(NodeJob job) {
        reckon(job);
        job.running = false;
        running.remove(job);
        next();
        job.done.accept(job);
    }

    private void next() {
        while (running.size() < cores && !queue.isEmpty()) {
            begin(queue.poll());
        }
    }

    private void reckon(NodeJob job) {
        double done = Math.min(job.work, Math.max(0, timeline.now() - job.reckonedAt) * speed);
        worked += done;
        job.work -= done;
        job.reckonedAt = timeline.now();
    }

    /** Seconds of work done in a second of a core; 0 while it stands still. */
    void speed(double now) {
        running.forEach(this::reckon);
        speed = now;
        running.forEach(this::plan);
    }

    /** Its client has gone: what waits is dropped, what runs goes on. */
    void cancel(NodeJob job) {
        queue.remove(job);
    }

    /** All is lost. */
    void clear() {
        running.forEach(job -> job.running = false);
        running.clear();
        queue.clear();
    }

    int inside() {
        return running.size() + queue.size();
    }

    int waiting() {
        return queue.size();
    }

    /** Seconds of a core that were worked so far. */
    double worked() {
        running.forEach(this::reckon);
        running.forEach(this::plan);
        return worked;
    }
}
