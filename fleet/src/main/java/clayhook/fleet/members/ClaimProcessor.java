package clayhook.fleet.members;

import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;

/**
 * Applies claims to the membership table and starts what follows from a change: broadcasts, probes, timers and events.
 * Not thread-safe.
 */
final class ClaimProcessor {
    /** A member heard that lately is not declared dead because another router says so, but probed. */
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

    /** Whether a claim was queued for broadcast or a probe was started since {@link #clearWorkPending()}. */
    boolean isWorkPending() {
        return workPending;
    }

    void clearWorkPending() {
        workPending = false;
    }

    /** Notes that a message of that very incarnation has arrived. */
    void recordContact(Member member, double now) {
        MemberRecord known = table.find(member);
        if (known != null) {
            known.lastHeardAt = Math.max(known.lastHeardAt, now);
        }
    }

    /**
     * Adds the sender of a ping or ack as a member. Where this router holds another claim on its name, the sender is
     * told, so that it can refute.
     *
     * @param from where the message came from
     * @param speaker the sender with the address that it states itself
     */
    void applySender(Peer from, Peer speaker, long refutationCount, double now, Outbox out) {
        applyBroadcast(from, MemberClaim.alive(speaker, refutationCount), now, out);
        recordContact(from.member(), now);
        MemberRecord known = table.find(speaker.member().name());
        if (known == null) {
            if (isOwnName(speaker.member().name())) {
                sender.sendClaim(from.address(), sender.ownClaim(), out);
                events.onOlderOwnIncarnation(speaker, now);
            }
            return;
        }
        boolean aliveAsClaimed = known.isIncarnation(speaker.member()) && known.claim.status() == MemberStatus.ALIVE;
        if (!aliveAsClaimed) {
            sender.sendClaim(from.address(), known.claim, out);
            events.onSupersededSender(known, speaker, now);
        }
    }

    /** Applies a claim that was gossiped because it is new. */
    void applyBroadcast(Peer from, MemberClaim claim, double now, Outbox out) {
        if (isOwnName(claim.name())) {
            applyToOwnName(from, claim, now, out);
        } else {
            applyBroadcast(claim, now, out);
        }
    }

    private void applyBroadcast(MemberClaim claim, double now, Outbox out) {
        MemberRecord known = table.find(claim.name());
        if (!mayChange(known, claim)) {
            return;
        }
        if (declaresDead(known, claim) && now - known.lastHeardAt < RECENT_CONTACT_SECONDS) {
            challenge(known, claim, now, out);
        } else {
            merge(claim, now, true, now);
        }
    }

    /**
     * Applies a claim from a page of another member's table, which need not be new to others.
     *
     * @param statusSince when the claimed status began, as far as is known
     */
    void applySynced(Peer from, MemberClaim claim, double statusSince, double now, Outbox out) {
        if (isOwnName(claim.name())) {
            applyToOwnName(from, claim, now, out);
            return;
        }
        MemberRecord known = table.find(claim.name());
        if (!mayChange(known, claim)) {
            return;
        }
        if (declaresDead(known, claim)) {
            challenge(known, claim, now, out);
        } else {
            boolean suspect = claim.status() == MemberStatus.SUSPECT;
            MemberClaim merged = suspect ? MemberClaim.alive(claim.peer(), claim.refutationCount()) : claim;
            merge(merged, statusSince, false, now);
        }
    }

    private boolean isOwnName(String name) {
        return name.equals(self.member().name());
    }

    private static boolean mayChange(MemberRecord known, MemberClaim claim) {
        return known == null || claim.supersedes(known.claim) || claim.status() == MemberStatus.SUSPECT;
    }

    private static boolean declaresDead(MemberRecord known, MemberClaim claim) {
        return known != null
                && known.isLive()
                && claim.status() == MemberStatus.DEAD
                && known.peer().equals(claim.peer());
    }

    /**
     * Sends a claim of a member's death to the member instead of believing it. After a partition, each side holds the
     * other for dead; believing that would remove half of the fleet for a moment. The member can refute, and where it
     * is dead indeed the probe finds out.
     */
    private void challenge(MemberRecord known, MemberClaim claim, double now, Outbox out) {
        sender.sendClaim(known.peer().address(), claim, out);
        if (known.claim.status() == MemberStatus.ALIVE) {
            failureDetector.probeNow(known, now);
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

    /** Merges a claim of this router itself, that a member is suspect or dead. */
    void applyLocal(MemberClaim claim, double now) {
        merge(claim, now, true, now);
    }

    /** @param isNew whether the claim is new to others as well; false for a claim from another member's table */
    private void merge(MemberClaim claim, double statusSince, boolean isNew, double now) {
        MemberRecord existing = table.find(claim.name());
        MemberClaim before = existing == null ? null : existing.claim;
        MemberRecord known = table.merge(claim, statusSince, now);
        if (known == null || known.claim.equals(before)) {
            return;
        }
        if (isNew || sync.isSettled()) {
            broadcasts.enqueue(known.claim, now);
            workPending = true;
        }
        if (!isNew) {
            sync.requestSoon(now);
        }
        suspicionTimers.onClaimChanged(known, before, now);
        scheduleFollowUp(known, before, now);
        events.onClaimChanged(known, before, now);
    }

    private void scheduleFollowUp(MemberRecord known, MemberClaim before, double now) {
        switch (known.claim.status()) {
            case SUSPECT -> {
                if (!isAccuser(known.claim)) {
                    failureDetector.maybeConfirm(known, now);
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
