package clayhook.fleet.members;

import clayhook.fleet.Peer;

/** Reports changes of the membership table to the {@link MembershipListener}. Not thread-safe. */
final class MembershipEvents {
    /**
     * Time for which an incarnation must have been known before a message from an older one is reported as a duplicate
     * name. Until then, the message may be a delayed packet; afterwards, the older process must still be running.
     */
    private static final double DUPLICATE_NAME_GRACE_SECONDS = 3;

    private final Peer self;
    private final MembershipListener listener;
    private final double startedAt;
    /** The last reported other incarnation with this router's own name; null if none was. */
    private Peer reportedOwnDuplicate;

    MembershipEvents(Peer self, MembershipListener listener, double now) {
        this.self = self;
        this.listener = listener;
        startedAt = now;
    }

    /**
     * Reports the events that result from a changed claim.
     *
     * @param before the previous claim on the name; null if the name was unknown
     */
    void onClaimChanged(MemberRecord record, MemberClaim before, double now) {
        Peer peer = record.peer();
        boolean sameIncarnation = before != null && before.peer().equals(peer);
        if (before != null && !sameIncarnation && before.peer().member().equals(peer.member())) {
            listener.onDuplicateName(peer, before.peer(), now);
        }
        MemberStatus oldStatus = sameIncarnation ? before.status() : null;
        reportJoinedOrAlive(record, oldStatus, now);
        switch (record.claim.status()) {
            case SUSPECT -> listener.onSuspected(peer, record.claim.accusers().size(), now);
            case DEAD -> {
                if (before != null && before.isLive()) {
                    listener.onDead(peer, now);
                }
            }
            case LEFT -> {
                if (before != null && oldStatus != MemberStatus.LEFT) {
                    listener.onLeft(peer, now);
                }
            }
            case ALIVE -> {}
        }
    }

    /** @param oldStatus the previous status of the same incarnation; null if the incarnation was unknown */
    private void reportJoinedOrAlive(MemberRecord record, MemberStatus oldStatus, double now) {
        if (!record.isLive()) {
            return;
        }
        boolean refuted = oldStatus == MemberStatus.SUSPECT && record.claim.status() == MemberStatus.ALIVE;
        if (oldStatus == null) {
            listener.onJoined(record.peer(), now);
        } else if (oldStatus == MemberStatus.DEAD || refuted) {
            listener.onAlive(record.peer(), now);
        }
    }

    /** Reports a later incarnation with this router's own name. */
    void onSuperseded(Peer later, double now) {
        reportOwnDuplicate(later, self, now);
    }

    /**
     * Reports an older incarnation with this router's own name that has sent a message, after the grace period that
     * follows the start.
     */
    void onOlderOwnIncarnation(Peer older, double now) {
        if (now - startedAt > DUPLICATE_NAME_GRACE_SECONDS) {
            reportOwnDuplicate(self, older, now);
        }
    }

    private void reportOwnDuplicate(Peer winner, Peer other, double now) {
        if (!other.equals(reportedOwnDuplicate)) {
            reportedOwnDuplicate = other;
            listener.onDuplicateName(winner, other, now);
        }
    }

    /**
     * Handles a message from a peer whose name is known with another incarnation or status. Reports the peer once as a
     * duplicate if the known incarnation is later and its grace period is over.
     */
    void onSupersededSender(MemberRecord record, Peer sender, double now) {
        boolean older = MemberClaim.INCARNATION_ORDER.compare(record.peer(), sender) > 0;
        boolean knownForLong = now - record.knownSince > DUPLICATE_NAME_GRACE_SECONDS;
        if (older && knownForLong && !sender.equals(record.reportedDuplicate)) {
            record.reportedDuplicate = sender;
            listener.onDuplicateName(record.peer(), sender, now);
        }
    }
}
