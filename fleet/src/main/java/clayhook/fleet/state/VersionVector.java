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
 * The version vector of this replica: for each origin the sequence number up to which its updates were received, and
 * the sequence numbers of this router's own updates. An origin is one incarnation of a member. A 64-bit hash identifies
 * it, which takes less space in messages than its name. Not thread-safe.
 */
final class VersionVector {
    /**
     * Maximum number of origins that the membership does not list. They are kept since membership messages may arrive
     * later than state messages.
     */
    private static final int MAX_UNLISTED_ORIGINS = 1024;
    /** Time in seconds for which an unlisted origin is kept after its last activity. */
    private static final double RETENTION_SECONDS = 60;

    private static final double MILLIS_PER_SECOND = 1000;

    private final MembershipView membership;
    private final StateSettings settings;
    private final long selfId;
    /**
     * The progress of all origins by origin id, at most {@link #MAX_UNLISTED_ORIGINS} more than
     * {@link #progressByMember}. {@link #removeDeparted} removes inactive unlisted origins.
     */
    private final Map<Long, OriginProgress> progressByOriginId = new HashMap<>();
    /** The progress of the members that may be serving. {@link #removeDeparted} removes all other members. */
    private final Map<Member, OriginProgress> progressByMember = new HashMap<>();

    private long lastSequence;
    private double lastAsOf;
    private int nextMemberIndex;

    /**
     * @param firstMemberIndex index of the member at which gossip starts; chosen at random, so that routers gossip
     *     different parts
     */
    VersionVector(MembershipView membership, StateSettings settings, int firstMemberIndex, double now) {
        this.membership = membership;
        this.settings = settings;
        nextMemberIndex = firstMemberIndex;
        selfId = StableHash.ofMember(membership.self().member());
        lastAsOf = now;
    }

    // ---- this router's own updates ----

    /** Assigns the next sequence number to a new update of this router. */
    UpdateId nextUpdate() {
        lastSequence++;
        return new UpdateId(selfId, lastSequence);
    }

    /** The sequence number of this router's last update. */
    long lastSequence() {
        return lastSequence;
    }

    /**
     * Returns the time to announce with this router's last sequence number; never earlier than a previously returned
     * time.
     */
    double asOf(double now) {
        lastAsOf = Math.max(lastAsOf, now);
        return lastAsOf;
    }

    private OriginVersion ownVersion(double now) {
        return new OriginVersion(selfId, lastSequence, asOf(now));
    }

    // ---- updates of others ----

    /** Records that an update was received. Returns whether it was missing before. */
    boolean markReceived(UpdateId update, double now) {
        return update.originId() != selfId
                && findOrCreate(update.originId(), now).markReceived(update.sequence());
    }

    /** Processes an announcement of an origin's last sequence number, received from any member. */
    void observe(OriginVersion version, double now) {
        if (version.originId() != selfId) {
            findOrCreate(version.originId(), now).observe(version.sequence(), version.asOf(), now);
        }
    }

    /** Records that all updates up to a version were received. */
    void markComplete(OriginVersion version, double now) {
        if (version.originId() != selfId) {
            findOrCreate(version.originId(), now).markComplete(version.sequence(), version.asOf());
        }
    }

    private OriginProgress findOrCreate(long originId, double now) {
        OriginProgress progress = progressByOriginId.get(originId);
        if (progress == null) {
            if (progressByOriginId.size() >= progressByMember.size() + MAX_UNLISTED_ORIGINS) {
                progressByOriginId.values().retainAll(new HashSet<>(progressByMember.values()));
            }
            progress = new OriginProgress(originId);
            progressByOriginId.put(originId, progress);
        }
        progress.lastActivityAt = now;
        return progress;
    }

    private OriginProgress progressOf(Member member, double now) {
        OriginProgress progress = progressByMember.get(member);
        if (progress == null) {
            progress = findOrCreate(StableHash.ofMember(member), now);
            progress.onIncarnationStart(member.incarnation() / MILLIS_PER_SECOND);
            progressByMember.put(member, progress);
        }
        return progress;
    }

    // ---- queries ----

    /**
     * Returns the versions to gossip next, as many as fit into {@code maxBytes}. This router's own version is always
     * included.
     */
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

    /** Returns the versions of the given origins; origins without a confirmed version are left out. */
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
        return Optional.ofNullable(progressByOriginId.get(originId))
                .map(VersionVector::confirmedVersion)
                .filter(version -> version.asOf() > Double.NEGATIVE_INFINITY);
    }

    private static OriginVersion confirmedVersion(OriginProgress progress) {
        return new OriginVersion(progress.originId, progress.confirmedSequence(), progress.confirmedAsOf());
    }

    /**
     * Returns the members that may be serving and some of whose updates have been missing for longer than the given
     * number of seconds.
     */
    List<Member> membersWithGaps(double seconds, double now) {
        return membership.possiblyServing(now).stream()
                .filter(member -> progressOf(member, now).hasGapLongerThan(seconds, now))
                .toList();
    }

    /**
     * Returns the time on this router's clock up to which the updates of all members that may be serving were received.
     * Negative infinity if the clock of such a member is off by more than the bound, since its clock-dependent values
     * are rejected.
     */
    double completeUpTo(double now) {
        double completeUpTo = now;
        for (Member member : membership.possiblyServing(now)) {
            if (!membership.clockWithinBound(member)) {
                return Double.NEGATIVE_INFINITY;
            }
            double offset = membership.clockOffset(member);
            double maxOffset = Double.isNaN(offset) ? settings.maxClockSkew() : offset;
            completeUpTo = Math.min(completeUpTo, progressOf(member, now).confirmedAsOf() - maxOffset);
        }
        return completeUpTo;
    }

    /**
     * Removes members that cannot be serving any more, and unlisted origins without activity for
     * {@link #RETENTION_SECONDS}.
     */
    void removeDeparted(double now) {
        progressByMember.keySet().retainAll(new HashSet<>(membership.possiblyServing(now)));
        var listed = new HashSet<>(progressByMember.values());
        progressByOriginId
                .values()
                .removeIf(progress -> !listed.contains(progress) && progress.lastActivityAt + RETENTION_SECONDS < now);
    }
}
