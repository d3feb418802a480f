package clayhook.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** The cores of a machine and the FIFO queue in front of them. Work is conserved across changes of the speed. */
final class CpuModel {
    private final Scheduler scheduler;
    private final int cores;
    private final int maxQueued;
    /** Bounded by {@link #maxQueued}. */
    private final ArrayDeque<NodeJob> queue = new ArrayDeque<>();

    private final List<NodeJob> running = new ArrayList<>();
    private double speed = 1;
    /** Core seconds of work done, as of the last {@link #updateWork} of each running job. */
    private double workedSeconds;

    CpuModel(Scheduler scheduler, int cores, int maxQueued) {
        this.scheduler = scheduler;
        this.cores = cores;
        this.maxQueued = maxQueued;
    }

    /** Starts or queues the job; returns false if the queue is full. */
    boolean offer(NodeJob job) {
        if (running.size() < cores) {
            start(job);
            return true;
        }
        return queue.size() < maxQueued && queue.add(job);
    }

    private void start(NodeJob job) {
        job.running = true;
        running.add(job);
        job.updatedAt = scheduler.now();
        scheduleEnd(job);
    }

    /** Schedules the end of the job. At speed 0 nothing is scheduled; the next change of the speed schedules it. */
    private void scheduleEnd(NodeJob job) {
        int number = ++job.endNumber;
        if (speed > 0) {
            scheduler.scheduleAfter(job.work / speed, () -> {
                if (job.running && job.endNumber == number) {
                    end(job);
                }
            });
        }
    }

    private void end(NodeJob job) {
        updateWork(job);
        job.running = false;
        running.remove(job);
        startQueued();
        job.done.accept(job);
    }

    private void startQueued() {
        while (running.size() < cores && !queue.isEmpty()) {
            start(queue.poll());
        }
    }

    private void updateWork(NodeJob job) {
        double done = Math.min(job.work, Math.max(0, scheduler.now() - job.updatedAt) * speed);
        workedSeconds += done;
        job.work -= done;
        job.updatedAt = scheduler.now();
    }

    /** Sets the core seconds of work done per second and core; 0 while the machine is stopped. */
    void setSpeed(double newSpeed) {
        running.forEach(this::updateWork);
        speed = newSpeed;
        running.forEach(this::scheduleEnd);
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

    int jobs() {
        return running.size() + queue.size();
    }

    int queuedJobs() {
        return queue.size();
    }

    /** Core seconds of work done so far. */
    double workedSeconds() {
        running.forEach(this::updateWork);
        running.forEach(this::scheduleEnd);
        return workedSeconds;
    }
}
