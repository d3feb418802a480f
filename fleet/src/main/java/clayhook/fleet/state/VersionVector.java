package clayhook.fleet.state;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Up to which update this replica has the updates of each member, and the numbers of this router's own updates. An
 * origin is one incarnation of a member, identified by a hash of 64 bits, which saves its name on the wire. Not
 * thread-safe.
 */
final class VersionVector {
    /** Origins kept that the membership does not list: membership messages may arrive later than state messages. */
    private static final int MAX_UNLISTED_ORIGINS = 1024;
    /** An unlisted origin is kept for that long after its last activity. */
    private static final double RETENTION_SECONDS = 60;

    private static final double MILLIS_PER_SECOND = 1000;

    private final MembershipView membership;
    private final StateSettings settings;
    private final long selfId;
    /** Emptied by {@link #removeDeparted}; at most {@link #MAX_UNLISTED_ORIGINS} more than {@link #byMember}. */
    private final Map<Long, OriginProgress> byId = new HashMap<>();
    /** Emptied by {@link #removeDeparted} of members that cannot be serving any more. */
    private final Map<Member, OriginProgress> byMember = new HashMap<>();

    private long lastSequence;
    private double lastAsOf;
    private int nextMemberIndex;

    /** @param firstMemberIndex where gossip starts among the members; chosen at random, so that routers differ */
    VersionVector(MembershipView membership, StateSettings settings, int firstMemberIndex, double now) {
        this.membership = membership;
        this.settings = settings;
        nextMemberIndex = firstMemberIndex;
        selfId = StableHash.ofMember(membership.self().member());
        lastAsOf = now;
    }

    // ---- this router's own updates ----

    /** Numbers a new update of this router. */
    UpdateId nextUpdate() {
        lastSequence++;
        return new UpdateId(selfId, lastSequence);
    }

    /** The number of this router's last update. */
    long lastSequence() {
        return lastSequence;
    }

    /** The time of statements about this router's own updates; never goes back. */
    double asOf(double now) {
        lastAsOf = Math.max(lastAsOf, now);
        return lastAsOf;
    }

    private OriginVersion ownVersion(double now) {
        return new OriginVersion(selfId, lastSequence, asOf(now));
    }

    // ---- updates of others ----

    /** Notes that an update is here. Returns whether it was missing. */
    boolean markReceived(UpdateId update, double now) {
        return update.originId() != selfId
                && findOrCreate(update.originId(), now).markReceived(update.sequence());
    }

    /** Notes what some member states about an origin's updates. */
    void observe(OriginVersion version, double now) {
        if (version.originId() != selfId) {
            findOrCreate(version.originId(), now).observe(version.sequence(), version.asOf(), now);
        }
    }

    /** Notes that all updates of that version are here. */
    void markComplete(OriginVersion version, double now) {
        if (version.originId() != selfId) {
            findOrCreate(version.originId(), now).markComplete(version.sequence(), version.asOf());
        }
    }

    private OriginProgress findOrCreate(long originId, double now) {
        OriginProgress progress = byId.get(originId);
        if (progress == null) {
            if (byId.size() >= byMember.size() + MAX_UNLISTED_ORIGINS) {
                byId.values().retainAll(new HashSet<>(byMember.values()));
            }
            progress = new OriginProgress(originId);
            byId.put(originId, progress);
        }
        progress.lastActivityAt = now;
        return progress;
    }

    private OriginProgress progressOf(Member member, double now) {
        OriginProgress known = byMember.get(member);
        if (known == null) {
            known = findOrCreate(StableHash.ofMember(member), now);
            known.onIncarnationStart(member.incarnation() / MILLIS_PER_SECOND);
            byMember.put(member, known);
        }
        return known;
    }

    // ---- queries ----

    /** The versions to gossip next, as many as fit into that many bytes; this router's own is always among them. */
    List<OriginVersion> nextGossipSlice(int maxBytes, double now) {
        List<Member> members = membership.possiblyServing(now);
        var slice = new ArrayList<OriginVersion>();
        slice.add(ownVersion(now));
        int bytesLeft = maxBytes - slice.get(0).maxEncodedBytes(now);
        for (int i = 0; i < members.size(); i++) {
            Member member = members.get(Math.floorMod(nextMemberIndex, members.size()));
            OriginVersion version = confirmedVersion(progressOf(member, now));
            bytesLeft -= version.maxEncodedBytes(now);
            if (bytesLeft < 0) {
                break;
            }
            nextMemberIndex++;
            slice.add(version);
        }
        return slice;
    }

    /** The versions of those origins, as far as they are known here. */
    List<OriginVersion> knownVersions(List<Long> originIds, double now) {
        var versions = new ArrayList<OriginVersion>();
        for (long originId : originIds) {
            knownVersion(originId, now).ifPresent(versions::add);
        }
        return versions;
    }

    private Optional<OriginVersion> knownVersion(long originId, double now) {
        if (originId == selfId) {
            return Optional.of(ownVersion(now));
        }
        return Optional.ofNullable(byId.get(originId))
                .map(VersionVector::confirmedVersion)
                .filter(version -> version.asOf() > Double.NEGATIVE_INFINITY);
    }

    private static OriginVersion confirmedVersion(OriginProgress progress) {
        return new OriginVersion(progress.originId, progress.confirmedSequence(), progress.confirmedAsOf());
    }

    /**
     * The members that may be serving of whose updates some have been missing here for longer than that many seconds.
     */
    List<Member> membersWithGaps(double seconds, double now) {
        return membership.possiblyServing(now).stream()
                .filter(member -> progressOf(member, now).hasGapLongerThan(seconds, now))
                .toList();
    }

    /**
     * Up to when, on this router's clock, all updates are here of all members that may be serving. Negative infinity
     * while the clock of such a member is off, since its values are rejected.
     */
    double completeUpTo(double now) {
        double least = now;
        for (Member member : membership.possiblyServing(now)) {
            if (!membership.clockWithinBound(member)) {
                return Double.NEGATIVE_INFINITY;
            }
            double offset = membership.clockOffset(member);
            double maxOffset = Double.isNaN(offset) ? settings.maxClockSkew() : offset;
            least = Math.min(least, progressOf(member, now).confirmedAsOf() - maxOffset);
        }
        return least;
    }

    /** Forgets members that cannot be serving any more. */
    void removeDeparted(double now) {
        byMember.keySet().retainAll(new HashSet<>(membership.possiblyServing(now)));
        var listed = new HashSet<>(byMember.values());
        byId.values()
                .removeIf(progress -> !listed.contains(progress) && progress.lastActivityAt + RETENTION_SECONDS < now);
    }
}
