package clayhook.fleet.members;

import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Table of all member names known to this router except its own, each with the merge of all claims on it. The contents
 * do not depend on the order in which claims are merged, nor on how often. Not thread-safe.
 */
final class MembershipTable {
    /** The list that contains a record, determined by its status. */
    private enum Placement {
        LIVE,
        DEAD,
        UNLISTED;

        static Placement of(MemberClaim claim) {
            if (claim.isLive()) {
                return LIVE;
            }
            return claim.status() == MemberStatus.DEAD ? DEAD : UNLISTED;
        }
    }

    private final long ownRingPosition;
    private final int maxNames;
    private final SplittableRandom random;
    /**
     * Records by name, at most {@link #maxNames}. Dead and departed members are removed when their retention has ended.
     */
    private final Map<String, MemberRecord> byName = new HashMap<>();

    private final ProbeOrder live;
    private final List<MemberRecord> dead = new ArrayList<>();
    /**
     * Live members by the hash of their names, so that neighbours on the ring are not more likely than other members to
     * share a host or a fault.
     */
    private final NavigableMap<Long, MemberRecord> ring = new TreeMap<>();

    private final TableDigest digest = new TableDigest();
    /** This router's claim on itself; null if a later incarnation with its name is known or this router has left. */
    private MemberClaim ownClaim;

    private long ownDigestContribution;
    private long rejectedNames;
    /** The cached result of {@link #livePeers()}; null if it must be recomputed. */
    private List<Peer> livePeers;

    /** @param ownName this router's own name */
    MembershipTable(String ownName, int maxNames, SplittableRandom random) {
        ownRingPosition = MemberRecord.ringPosition(ownName);
        this.maxNames = maxNames;
        this.random = random;
        live = new ProbeOrder(random);
    }

    /** Returns the record of a name; null if the name is unknown. */
    MemberRecord find(String name) {
        return byName.get(name);
    }

    /** Returns the record of a member; null if the member is unknown or its record is on another incarnation. */
    MemberRecord find(Member member) {
        MemberRecord record = byName.get(member.name());
        return record != null && record.isIncarnation(member) ? record : null;
    }

    /**
     * Merges a claim and returns the record of its name; null if the name is new and the table is full.
     *
     * @param statusSince when the claimed status began as far as known, in seconds since 1970
     */
    MemberRecord merge(MemberClaim claim, double statusSince, double now) {
        MemberRecord record = byName.get(claim.name());
        if (record == null) {
            return add(claim, statusSince, now);
        }
        MemberClaim merged = record.claim.merge(claim);
        if (!merged.equals(record.claim)) {
            replaceClaim(record, merged, statusSince, now);
        }
        return record;
    }

    private MemberRecord add(MemberClaim claim, double statusSince, double now) {
        if (byName.size() >= maxNames) {
            rejectedNames++;
            return null;
        }
        var added = new MemberRecord(claim, statusSince, now);
        byName.put(claim.name(), added);
        addToList(added);
        updateDigest(added);
        return added;
    }

    private void replaceClaim(MemberRecord record, MemberClaim merged, double statusSince, double now) {
        boolean sameIncarnation = merged.peer().equals(record.peer());
        if (!sameIncarnation) {
            record.startIncarnation(statusSince, now);
            livePeers = null;
        } else if (merged.status() != record.claim.status()) {
            record.statusSince = statusSince;
        }
        if (Placement.of(merged) != Placement.of(record.claim)) {
            removeFromList(record);
            record.claim = merged;
            addToList(record);
        } else {
            record.claim = merged;
        }
        updateDigest(record);
    }

    private void addToList(MemberRecord record) {
        livePeers = null;
        switch (Placement.of(record.claim)) {
            case LIVE -> {
                // If two names have equal hashes, one of them is not on the ring; it is still probed in each round.
                ring.put(record.ringPosition, record);
                live.add(record);
            }
            case DEAD -> {
                record.listIndex = dead.size();
                dead.add(record);
            }
            case UNLISTED -> {}
        }
    }

    private void removeFromList(MemberRecord record) {
        livePeers = null;
        switch (Placement.of(record.claim)) {
            case LIVE -> {
                ring.remove(record.ringPosition, record);
                live.remove(record);
            }
            case DEAD -> ProbeOrder.removeFrom(dead, record);
            case UNLISTED -> {}
        }
    }

    private void updateDigest(MemberRecord record) {
        long contribution = record.isLive() ? TableDigest.hash(record.claim) : 0;
        digest.replace(record.ringPosition, record.digestContribution, contribution);
        record.digestContribution = contribution;
    }

    /**
     * Sets this router's claim on itself. The digests include it, since the tables of other members contain it. It is
     * ignored if it is not live or a later incarnation with this router's name is known.
     */
    void setOwnClaim(MemberClaim claim) {
        long contribution = claim.isLive() && !byName.containsKey(claim.name()) ? TableDigest.hash(claim) : 0;
        digest.replace(ownRingPosition, ownDigestContribution, contribution);
        ownDigestContribution = contribution;
        ownClaim = contribution == 0 ? null : claim;
    }

    /** Returns the digest of the table. It is equal for equal sets of live members with equal refutation counts. */
    long digest() {
        return digest.total();
    }

    /** Returns the digests of all {@link TableDigest#BUCKETS}. */
    int[] bucketDigests() {
        return digest.bucketDigests();
    }

    /**
     * Returns this router's claim on itself, followed in random order by all claims in the buckets whose digests differ
     * from the given ones.
     */
    List<MembershipMessage.SyncPage.AgedClaim> claimsInDifferingBuckets(int[] otherBucketDigests, double now) {
        var differing = new ArrayList<MembershipMessage.SyncPage.AgedClaim>();
        for (MemberRecord record : byName.values()) {
            if (digest.differs(record.ringPosition, otherBucketDigests)) {
                differing.add(
                        new MembershipMessage.SyncPage.AgedClaim(record.claim, Math.max(0, now - record.statusSince)));
            }
        }
        shuffle(differing);
        if (ownClaim != null) {
            differing.add(0, new MembershipMessage.SyncPage.AgedClaim(ownClaim, 0));
        }
        return differing;
    }

    private void shuffle(List<MembershipMessage.SyncPage.AgedClaim> claims) {
        for (int i = claims.size() - 1; i > 0; i--) {
            claims.set(i, claims.set(random.nextInt(i + 1), claims.get(i)));
        }
    }

    /** Returns the live member that follows this router on the ring; null if there is no live member. */
    MemberRecord ringSuccessor() {
        Map.Entry<Long, MemberRecord> next = ring.higherEntry(ownRingPosition);
        if (next == null) {
            next = ring.firstEntry();
        }
        return next == null ? null : next.getValue();
    }

    /** Returns the next live member to probe, each of them once per round; null if there is none. */
    MemberRecord nextProbeTarget() {
        return live.next();
    }

    /**
     * Returns at most {@code count} random live members.
     *
     * @param excluded a member that is not returned; null for none
     */
    Collection<MemberRecord> randomMembers(int count, MemberRecord excluded) {
        return randomMembers(live.members(), count, excluded);
    }

    /** Returns at most {@code count} random dead members. */
    Collection<MemberRecord> randomDeadMembers(int count) {
        return randomMembers(dead, count, null);
    }

    private Collection<MemberRecord> randomMembers(List<MemberRecord> candidates, int count, MemberRecord excluded) {
        if (candidates.size() <= count + (excluded == null ? 0 : 1)) {
            return candidates.stream()
                    .filter(record -> record != excluded)
                    .limit(count)
                    .toList();
        }
        Set<MemberRecord> chosen = new LinkedHashSet<>();
        while (chosen.size() < count) {
            MemberRecord record = candidates.get(random.nextInt(candidates.size()));
            if (record != excluded) {
                chosen.add(record);
            }
        }
        return chosen;
    }

    int liveCount() {
        return live.size();
    }

    /** Returns the number of claims on new names that were rejected because the table was full. */
    long rejectedNames() {
        return rejectedNames;
    }

    /** Removes dead and departed members whose status began before {@code time}, in seconds since 1970. */
    void removeDeadBefore(double time) {
        byName.values().removeIf(record -> {
            boolean expired = !record.isLive() && record.statusSince < time;
            if (expired) {
                removeFromList(record);
            }
            return expired;
        });
    }

    /**
     * Returns all live members ordered by name. The list is immutable, and the same instance is returned until the live
     * members change.
     */
    List<Peer> livePeers() {
        if (livePeers == null) {
            livePeers = live.members().stream()
                    .map(MemberRecord::peer)
                    .sorted(Comparator.comparing(Peer::member))
                    .toList();
        }
        return livePeers;
    }

    /**
     * Returns the live members, followed by those that were declared dead after {@code deadSince}, in seconds since
     * 1970.
     */
    List<Member> possiblyServing(double deadSince) {
        var members = new ArrayList<Member>(live.size());
        livePeers().forEach(peer -> members.add(peer.member()));
        dead.stream()
                .filter(record -> record.statusSince > deadSince)
                .forEach(record -> members.add(record.peer().member()));
        return members;
    }
}
