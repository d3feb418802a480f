package clayhook.lab.model;

import java.util.ArrayDeque;
import java.util.List;

/** Replication progress of a replica: commits arrive after the shipping delay and are applied one by one. */
final class ReplicaLog {
    private record Commit(double position, double appliedAt) {}

    private final double shipping;
    private final double apply;
    /** Commits that are not applied yet; applied ones are removed by {@link #position} and with the next commit. */
    private final ArrayDeque<Commit> pending = new ArrayDeque<>();

    private double freeAt;
    private double position;
    private double stalledUntil;
    /** Current factor by which applying takes longer. */
    private double slowness = 1;

    ReplicaLog(double shipping, double apply) {
        this.shipping = shipping;
        this.apply = apply;
    }

    void committed(double at) {
        position(at);
        freeAt = Math.max(Math.max(freeAt, at + shipping), stalledUntil) + apply * slowness;
        pending.add(new Commit(at, freeAt));
    }

    /** Multiplies the time to apply a commit by {@code factor}, for pending commits too. */
    void setSlowness(double now, double factor) {
        position(now);
        slowness = factor;
        freeAt = Math.max(now, stalledUntil);
        List<Commit> waiting = List.copyOf(pending);
        pending.clear();
        for (Commit commit : waiting) {
            freeAt = Math.max(freeAt, commit.position() + shipping) + apply * slowness;
            pending.add(new Commit(commit.position(), freeAt));
        }
    }

    /** Stops applying until the given time. */
    void stall(double now, double until) {
        position(now);
        var delayed = new ArrayDeque<Commit>();
        double delay = Math.max(0, until - now);
        pending.forEach(commit -> delayed.add(new Commit(commit.position(), commit.appliedAt() + delay)));
        pending.clear();
        pending.addAll(delayed);
        freeAt = Math.max(freeAt, now) + delay;
        stalledUntil = Math.max(stalledUntil, until);
    }

    /** Commit time up to which all commits are applied; never decreases. */
    double position(double now) {
        while (!pending.isEmpty() && pending.peek().appliedAt() <= now) {
            position = Math.max(position, pending.poll().position());
        }
        // Without pending commits the replica is current up to the shipping delay.
        boolean upToDate = pending.isEmpty() && now >= stalledUntil;
        position = upToDate ? Math.max(position, now - shipping) : position;
        return position;
    }

    int pending() {
        return pending.size();
    }
}
