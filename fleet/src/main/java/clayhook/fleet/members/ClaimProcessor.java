package clayhook.fleet.members;

import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;

/**
 * Applies claims to the membership table and triggers the broadcasts, probes, timers and events that result from a
 * change. Not thread-safe.
 */
final class ClaimProcessor {
    /**
     * Age of the last message from a member up to which another router's claim that the member is dead causes a probe
     * instead of being applied.
     */
    private static final double RECENT_CONTACT_SECONDS = 1;

    private final Peer self;
    private final MembershipTable table;
    private final BroadcastQueue broadcasts;
    private final MessageSender sender;
    private final LocalHealth localHealth;
    private final FailureDetector failureDetector;
    private final SuspicionTimers suspicionTimers;
    private final SeedReconnector seedReconnector;
    private final MembershipSync sync;
    private final MembershipEvents events;
    private boolean workPending;

    ClaimProcessor(
            Peer self,
            MembershipTable table,
            BroadcastQueue broadcasts,
            MessageSender sender,
            LocalHealth localHealth,
            FailureDetector failureDetector,
            SuspicionTimers suspicionTimers,
            SeedReconnector seedReconnector,
            MembershipSync sync,
            MembershipEvents events) {
        this.self = self;
        this.table = table;
        this.broadcasts = broadcasts;
        this.sender = sender;
        this.localHealth = localHealth;
        this.failureDetector = failureDetector;
        this.suspicionTimers = suspicionTimers;
        this.seedReconnector = seedReconnector;
        this.sync = sync;
        this.events = events;
    }

    /** Returns whether a claim was queued for broadcast or a probe was started since {@link #clearWorkPending()}. */
    boolean isWorkPending() {
        return workPending;
    }

    void clearWorkPending() {
        workPending = false;
    }

    /** Records that a message from exactly this incarnation was received. */
    void recordContact(Member member, double now) {
        MemberRecord record = table.find(member);
        if (record != null) {
            record.lastContactAt = Math.max(record.lastContactAt, now);
        }
    }

    /**
     * Adds the sender of a ping or ack as a member. If this router holds a different claim on the sender's name, sends
     * that claim to the sender, which can then refute it.
     *
     * @param from the sender with the address from which the message was received
     * @param advertised the sender with the address that it advertises in the message
     */
    void applySender(Peer from, Peer advertised, long refutationCount, double now, Outbox out) {
        applyBroadcast(from, MemberClaim.alive(advertised, refutationCount), now, out);
        recordContact(from.member(), now);
        MemberRecord record = table.find(advertised.member().name());
        if (record == null) {
            if (isOwnName(advertised.member().name())) {
                sender.sendClaim(from.address(), sender.ownClaim(), out);
                events.onOlderOwnIncarnation(advertised, now);
            }
            return;
        }
        boolean aliveAsClaimed =
                record.isIncarnation(advertised.member()) && record.claim.status() == MemberStatus.ALIVE;
        if (!aliveAsClaimed) {
            sender.sendClaim(from.address(), record.claim, out);
            events.onSupersededSender(record, advertised, now);
        }
    }

    /** Applies a claim from a broadcast, which was new to the sender. */
    void applyBroadcast(Peer from, MemberClaim claim, double now, Outbox out) {
        if (isOwnName(claim.name())) {
            applyToOwnName(from, claim, now, out);
        } else {
            applyBroadcast(claim, now, out);
        }
    }

    private void applyBroadcast(MemberClaim claim, double now, Outbox out) {
        MemberRecord record = table.find(claim.name());
        if (!mayChange(record, claim)) {
            return;
        }
        if (declaresDead(record, claim) && now - record.lastContactAt < RECENT_CONTACT_SECONDS) {
            challenge(record, claim, now, out);
        } else {
            merge(claim, now, true, now);
        }
    }

    /**
     * Applies a claim from a sync page of another member's table. Unlike a broadcast claim, it may be known to other
     * members already.
     *
     * @param statusSince when the claimed status began as far as known, in seconds since 1970
     */
    void applySynced(Peer from, MemberClaim claim, double statusSince, double now, Outbox out) {
        if (isOwnName(claim.name())) {
            applyToOwnName(from, claim, now, out);
            return;
        }
        MemberRecord record = table.find(claim.name());
        if (!mayChange(record, claim)) {
            return;
        }
        if (declaresDead(record, claim)) {
            challenge(record, claim, now, out);
        } else {
            boolean suspect = claim.status() == MemberStatus.SUSPECT;
            MemberClaim merged = suspect ? MemberClaim.alive(claim.peer(), claim.refutationCount()) : claim;
            merge(merged, statusSince, false, now);
        }
    }

    private boolean isOwnName(String name) {
        return name.equals(self.member().name());
    }

    private static boolean mayChange(MemberRecord record, MemberClaim claim) {
        return record == null || claim.supersedes(record.claim) || claim.status() == MemberStatus.SUSPECT;
    }

    private static boolean declaresDead(MemberRecord record, MemberClaim claim) {
        return record != null
                && record.isLive()
                && claim.status() == MemberStatus.DEAD
                && record.peer().equals(claim.peer());
    }

    /**
     * Sends a claim that a member is dead to that member instead of applying the claim. After a partition, each side
     * claims that the other is dead; applying these claims would temporarily remove half of the fleet. A live member
     * refutes the claim; the probe that is started here detects a dead one.
     */
    private void challenge(MemberRecord record, MemberClaim claim, double now, Outbox out) {
        sender.sendClaim(record.peer().address(), claim, out);
        if (record.claim.status() == MemberStatus.ALIVE) {
            failureDetector.probeNow(record, now);
            workPending = true;
        }
    }

    private void applyToOwnName(Peer from, MemberClaim claim, double now, Outbox out) {
        int order = MemberClaim.INCARNATION_ORDER.compare(claim.peer(), self);
        if (order > 0) {
            merge(claim, now, true, now);
            table.setOwnClaim(sender.ownClaim());
            events.onSuperseded(claim.peer(), now);
        } else if (order == 0 && sender.refuteIfNeeded(claim, now)) {
            localHealth.degrade();
            workPending = true;
            sender.sendClaim(from.address(), sender.ownClaim(), out);
        }
    }

    /** Applies a claim that this router made: that a member is suspect or dead. */
    void applyLocal(MemberClaim claim, double now) {
        merge(claim, now, true, now);
    }

    /** @param isNew whether other members may not know the claim yet; false for a claim from another member's table */
    private void merge(MemberClaim claim, double statusSince, boolean isNew, double now) {
        MemberRecord existing = table.find(claim.name());
        MemberClaim before = existing == null ? null : existing.claim;
        MemberRecord record = table.merge(claim, statusSince, now);
        if (record == null || record.claim.equals(before)) {
            return;
        }
        if (isNew || sync.isSettled()) {
            broadcasts.enqueue(record.claim, now);
            workPending = true;
        }
        if (!isNew) {
            sync.requestSoon(now);
        }
        suspicionTimers.onClaimChanged(record, before, now);
        scheduleFollowUp(record, before, now);
        events.onClaimChanged(record, before, now);
    }

    private void scheduleFollowUp(MemberRecord record, MemberClaim before, double now) {
        switch (record.claim.status()) {
            case SUSPECT -> {
                if (!isAccuser(record.claim)) {
                    failureDetector.maybeConfirm(record, now);
                }
            }
            case DEAD -> seedReconnector.onMemberDead(now);
            case ALIVE -> {
                if (before != null && before.status() == MemberStatus.DEAD) {
                    sync.requestSoon(now);
                }
            }
            case LEFT -> {}
        }
    }

    private boolean isAccuser(MemberClaim claim) {
        return claim.accusers().contains(MemberClaim.accuserHash(self.member().name()));
    }
}
