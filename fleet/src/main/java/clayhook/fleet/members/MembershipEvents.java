package clayhook.fleet.members;

import clayhook.fleet.Peer;

/** Translates changes of the membership table into calls of the {@link MembershipListener}. Not thread-safe. */
final class MembershipEvents {
    /**
     * Since when an incarnation must be known before an older one that speaks is no late packet, but a process that
     * still runs.
     */
    private static final double DUPLICATE_NAME_GRACE_SECONDS = 3;

    private final Peer self;
    private final MembershipListener listener;
    private final double startedAt;
    /** The other incarnation of this router's own name that was reported last. */
    private Peer reportedOwnDuplicate;

    MembershipEvents(Peer self, MembershipListener listener, double now) {
        this.self = self;
        this.listener = listener;
        startedAt = now;
    }

    /**
     * Reports what a changed claim means.
     *
     * @param before the previous claim on the name, or null
     */
    void onClaimChanged(MemberRecord known, MemberClaim before, double now) {
        Peer peer = known.peer();
        boolean sameIncarnation = before != null && before.peer().equals(peer);
        if (before != null && !sameIncarnation && before.peer().member().equals(peer.member())) {
            listener.onDuplicateName(peer, before.peer(), now);
        }
        MemberStatus oldStatus = sameIncarnation ? before.status() : null;
        reportIfRevived(known, oldStatus, now);
        switch (known.claim.status()) {
            case SUSPECT -> listener.onSuspected(peer, known.claim.accusers().size(), now);
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

    /** @param oldStatus of the same incarnation; null if it was unknown */
    private void reportIfRevived(MemberRecord known, MemberStatus oldStatus, double now) {
        if (!known.isLive()) {
            return;
        }
        boolean refuted = oldStatus == MemberStatus.SUSPECT && known.claim.status() == MemberStatus.ALIVE;
        if (oldStatus == null) {
            listener.onJoined(known.peer(), now);
        } else if (oldStatus == MemberStatus.DEAD || refuted) {
            listener.onAlive(known.peer(), now);
        }
    }

    /** A younger incarnation of this router's own name is known. */
    void onSuperseded(Peer younger, double now) {
        reportOwnDuplicate(younger, self, now);
    }

    /** An older incarnation of this router's own name has sent a message. */
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
     * A peer has sent a message whose name is known in another incarnation or status; reports it once if that one is
     * younger.
     */
    void onSupersededSender(MemberRecord known, Peer sender, double now) {
        boolean older = MemberClaim.INCARNATION_ORDER.compare(known.peer(), sender) > 0;
        boolean knownForLong = now - known.knownSince > DUPLICATE_NAME_GRACE_SECONDS;
        if (older && knownForLong && !sender.equals(known.reportedDuplicate)) {
            known.reportedDuplicate = sender;
            listener.onDuplicateName(known.peer(), sender, now);
        }
    }
}
