package clayhook.lab.model;

import java.util.ArrayDeque;
import java.util.List;

/** How far a replica has come with its primary's log: commits arrive after a while and are applied one by one. */
final class ReplicaLog {
    private record Commit(double position, double appliedAt) {}

    private final double shipping;
    private final double apply;
    /** Not applied yet; what is applied leaves when the position is asked for or another commit comes. */
    private final ArrayDeque<Commit> pending = new ArrayDeque<>();

    private double freeAt;
    private double position;
    private double stalledUntil;
    /** How many times longer applying takes for now. */
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

    /** From now on a commit takes so many times as long to apply, those that wait too. */
    void slow(double now, double times) {
        position(now);
        slowness = times;
        freeAt = Math.max(now, stalledUntil);
        List<Commit> waiting = List.copyOf(pending);
        pending.clear();
        for (Commit commit : waiting) {
            freeAt = Math.max(freeAt, commit.position() + shipping) + apply * slowness;
            pending.add(new Commit(commit.position(), freeAt));
        }
    }

    /** Nothing is applied until then. */
    void stall(double now, double until) {
        position(now);
        var late = new ArrayDeque<Commit>();
        double shift = Math.max(0, until - now);
        pending.forEach(commit -> late.add(new Commit(commit.position(), commit.appliedAt() + shift)));
        pending.clear();
        pending.addAll(late);
        freeAt = Math.max(freeAt, now) + shift;
        stalledUntil = Math.max(stalledUntil, until);
    }

    /** The time up to which it has applied all commits; it never goes back. */
    double position(double now) {
        while (!pending.isEmpty() && pending.peek().appliedAt() <= now) {
            position = Math.max(position, pending.poll().position());
        }
        // With nothing left to apply it knows of all that its primary did up to the way from there.
        boolean whole = pending.isEmpty() && now >= stalledUntil;
        position = whole ? Math.max(position, now - shipping) : position;
        return position;
    }

    int pending() {
        return pending.size();
    }
}
