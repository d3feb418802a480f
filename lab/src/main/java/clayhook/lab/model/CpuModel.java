package clayhook.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The cores of a machine and the FIFO queue in front of them. Work is conserved across changes of the speed. */
final class CpuModel {
    private final Scheduler scheduler;
    private final int cores;
    private final int limit;
    /** Bounded by {@link #limit}. */
    private final ArrayDeque<NodeJob> queue = new ArrayDeque<>();

    private final List<NodeJob> running = new ArrayList<>();
    private double speed = 1;
    /** Core seconds of work done, as of the last {@link #reckon} of each running job. */
    private double worked;

    CpuModel(Scheduler scheduler, int cores, int limit) {
        this.scheduler = scheduler;
        this.cores = cores;
        this.limit = limit;
    }

    /** Starts or queues the job; returns false if the queue is full. */
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
        job.reckonedAt = scheduler.now();
        plan(job);
    }

    /** Schedules the end of the job. At speed 0 nothing is scheduled; the next change of the speed schedules it. */
    private void plan(NodeJob job) {
        int plan = ++job.plan;
        if (speed > 0) {
            scheduler.scheduleAfter(job.work / speed, () -> {
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
        double done = Math.min(job.work, Math.max(0, scheduler.now() - job.reckonedAt) * speed);
        worked += done;
        job.work -= done;
        job.reckonedAt = scheduler.now();
    }

    /** Sets the core seconds of work done per second and core; 0 while the machine is stopped. */
    void speed(double now) {
        running.forEach(this::reckon);
        speed = now;
        running.forEach(this::plan);
    }

    /** Removes a job whose client disconnected from the queue; a running job continues. */
    void cancel(NodeJob job) {
        queue.remove(job);
    }

    /** Drops all running and queued jobs without a callback. */
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

    /** Core seconds of work done so far. */
    double worked() {
        running.forEach(this::reckon);
        running.forEach(this::plan);
        return worked;
    }
}
