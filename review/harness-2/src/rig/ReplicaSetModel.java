package rig;

import java.util.ArrayList;
import java.util.List;

/**
 * A replica set with one key: one primary, and replicas that follow its log. A position is the time up to which a
 * member has applied all commits; it never goes back. Thread-safe.
 */
public final class ReplicaSetModel {
    /** A commit: its time, and the number of the value that it wrote. */
    public record Commit(long atMillis, int version) {}

    /** A member and what it has applied. */
    public static final class Member {
        public final String uid;
        boolean primary;
        boolean running = true;
        private double position;
        private double movedAt;

        private Member(String uid, boolean primary, long now) {
            this.uid = uid;
            this.primary = primary;
            position = now;
            movedAt = now;
        }
    }

    /** How late a replica gets the log, in milliseconds. */
    private static final double SHIP_MILLIS = 5;
    /** How many seconds of the log a replica that is behind applies in one second. */
    private final double applySpeed;

    private final List<Commit> commits = new ArrayList<>();
    private final List<Member> members = new ArrayList<>();

    public ReplicaSetModel(double applySpeed) {
        this.applySpeed = applySpeed;
        commits.add(new Commit(0, 0));
    }

    public synchronized Member add(String uid, boolean primary) {
        var member = new Member(uid, primary, System.currentTimeMillis());
        members.add(member);
        return member;
    }

    public synchronized boolean isPrimary(Member member) {
        return member.primary;
    }

    /** The position of a member, in milliseconds. */
    public synchronized long position(Member member) {
        long now = System.currentTimeMillis();
        if (member.primary) {
            member.position = now;
        } else if (member.running) {
            boolean led = members.stream().anyMatch(other -> other.primary);
            double reached = member.position + applySpeed * (now - member.movedAt);
            member.position = Math.max(member.position, led ? Math.min(now - SHIP_MILLIS, reached) : member.position);
        }
        member.movedAt = now;
        return (long) Math.floor(member.position);
    }

    /** The number of the newest value that a member holds. */
    public synchronized int version(Member member) {
        long position = position(member);
        int version = 0;
        for (Commit commit : commits) {
            version = commit.atMillis() <= position ? commit.version() : version;
        }
        return version;
    }

    /** Commits a new value at the primary; returns the commit, or null if this member is no primary. */
    public synchronized Commit write(Member member) {
        if (!member.primary) {
            return null;
        }
        var commit = new Commit(System.currentTimeMillis(), commits.size());
        commits.add(commit);
        return commit;
    }

    /** Sets which member is the primary; null for none. All others are replicas. */
    public synchronized void setPrimary(Member primary) {
        members.forEach(this::position);
        members.forEach(member -> member.primary = member == primary);
    }

    /** Stops or starts a member; it goes on from where it stood. */
    public synchronized void setRunning(Member member, boolean running) {
        position(member);
        member.running = running;
    }
}
