package clayhook.fleet.members;

import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import com.dynatrace.hash4j.hashing.Hashing;
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

/** Every name that this router knows, its own apart, each with the join of all claims on it. */
final class MembershipTable {
    private static final int BUCKET_BITS = 8;
    /** Parts of the digest, by hash of the name; half of each fills most of a packet. */
    static final int BUCKETS = 1 << BUCKET_BITS;

    /** Where this router stands in the ring. */
    private final long ownRingPosition;

    private final int maxNames;
    private final SplittableRandom random;
    /** Emptied of the gone and those that left, when they were remembered long enough; bound by {@code most}. */
    private final Map<String, MemberRecord> byName = new HashMap<>();
    /** In the order in which they are probed: shuffled after each round. */
    private final List<MemberRecord> live = new ArrayList<>();

    private final List<MemberRecord> dead = new ArrayList<>();
    /**
     * The living by the hash of their names: neighbours there share neither a host nor a failure more than others do.
     */
    private final NavigableMap<Long, MemberRecord> ring = new TreeMap<>();

    private final int[] bucketDigests = new int[BUCKETS];
    private long digest;
    private MemberClaim ownClaim;
    private long ownHash;
    private int probedCount;
    private long rejectedNames;
    /** Null when it is to be made again. */
    private List<Peer> livePeers;

    /** @param name of this router itself */
    MembershipTable(String name, int most, SplittableRandom chance) {
        ownRingPosition = MemberRecord.ringPosition(name);
        this.maxNames = most;
        this.random = chance;
    }

    /** Null for a name that is not known. */
    MemberRecord find(String name) {
        return byName.get(name);
    }

    /** Null unless it is that very life that counts. */
    MemberRecord find(Member member) {
        MemberRecord known = byName.get(member.name());
        return known != null && known.isIncarnation(member) ? known : null;
    }

    /** Joins a claim in; null for a name that there is no room for. */
    MemberRecord merge(MemberClaim claim, double since, double now) {
        MemberRecord known = byName.get(claim.name());
        if (known == null) {
            if (byName.size() >= maxNames) {
                rejectedNames++;
                return null;
            }
            known = new MemberRecord(claim, since, now);
            byName.put(claim.name(), known);
            addToList(known);
            updateDigest(known);
            return known;
        }
        MemberClaim joined = known.claim.merge(claim);
        if (!joined.equals(known.claim)) {
            replace(known, joined, since, now);
        }
        return known;
    }

    private void replace(MemberRecord known, MemberClaim joined, double since, double now) {
        boolean sameLife = joined.peer().equals(known.peer());
        if (!sameLife) {
            known.startIncarnation(since, now);
        } else if (joined.status() != known.claim.status()) {
            known.statusSince = since;
        }
        boolean moves = listFor(joined) != listFor(known.claim);
        if (moves) {
            removeFromList(known);
        }
        livePeers = sameLife && !moves ? livePeers : null;
        known.claim = joined;
        if (moves) {
            addToList(known);
        }
        updateDigest(known);
    }

    /** Null for those that left. */
    private List<MemberRecord> listFor(MemberClaim claim) {
        return claim.isLive() ? live : claim.status() == MemberStatus.DEAD ? dead : null;
    }

    /** At a place by chance among those that are still to be probed in this round. */
    private void addToList(MemberRecord known) {
        livePeers = null;
        List<MemberRecord> list = listFor(known.claim);
        if (list == null) {
            return;
        }
        known.listIndex = list.size();
        list.add(known);
        if (list == live) {
            ring.put(
                    known.ringPosition,
                    known); // of two names with one hash one has no place, and is found by the rounds
        }
        if (list == live && probedCount < live.size()) {
            swap(known.listIndex, random.nextInt(probedCount, live.size()));
        }
    }

    private void removeFromList(MemberRecord known) {
        livePeers = null;
        List<MemberRecord> list = listFor(known.claim);
        if (list == null) {
            return;
        }
        if (list == live) {
            ring.remove(known.ringPosition, known);
        }
        if (list == live && known.listIndex < probedCount) {
            swap(known.listIndex, --probedCount); // so that what fills its place is not left out of this round
        }
        MemberRecord last = list.remove(list.size() - 1);
        if (last != known) {
            list.set(known.listIndex, last);
            last.listIndex = known.listIndex;
        }
    }

    private void swap(int one, int other) {
        MemberRecord a = live.get(one);
        MemberRecord b = live.get(other);
        live.set(one, b);
        live.set(other, a);
        b.listIndex = one;
        a.listIndex = other;
    }

    private void updateDigest(MemberRecord known) {
        long hash = known.isLive() ? hash(known.claim) : 0;
        updateDigest(known.ringPosition, hash - known.digestContribution);
        known.digestContribution = hash;
    }

    private void updateDigest(long spot, long more) {
        bucketDigests[bucket(spot)] += (int) more;
        digest += more;
    }

    private static long hash(MemberClaim claim) {
        Peer peer = claim.peer();
        return Hashing.komihash5_0()
                .hashStream()
                .putString(peer.member().name())
                .putLong(peer.member().incarnation())
                .putString(peer.address().host())
                .putInt(peer.address().port())
                .putLong(claim.refutationCount())
                .getAsLong();
    }

    private static int bucket(long spot) {
        return (int) (spot >>> Long.SIZE - BUCKET_BITS);
    }

    /**
     * What this router says of itself, which others have in their rosters; it does not count where its name has a
     * younger life.
     */
    void setOwnClaim(MemberClaim claim) {
        long hash = claim.isLive() && !byName.containsKey(claim.name()) ? hash(claim) : 0;
        updateDigest(ownRingPosition, hash - ownHash);
        ownHash = hash;
        ownClaim = hash == 0 ? null : claim;
    }

    /** Equal for equal sets of living members with equal counters. */
    long digest() {
        return digest;
    }

    int[] bucketDigests() {
        return bucketDigests.clone();
    }

    /**
     * All that is known of the names where those digests differ, in an order by chance; this router's own claim first.
     */
    List<MembershipMessage.SyncPage.AgedClaim> claimsInDifferingBuckets(int[] theirs, double now) {
        var found = new ArrayList<MembershipMessage.SyncPage.AgedClaim>();
        for (MemberRecord known : byName.values()) {
            int bucket = bucket(known.ringPosition);
            if (theirs[bucket] != bucketDigests[bucket]) {
                found.add(new MembershipMessage.SyncPage.AgedClaim(known.claim, Math.max(0, now - known.statusSince)));
            }
        }
        for (int i = found.size() - 1; i > 0; i--) {
            found.set(i, found.set(random.nextInt(i + 1), found.get(i)));
        }
        if (ownClaim != null) {
            found.add(0, new MembershipMessage.SyncPage.AgedClaim(ownClaim, 0));
        }
        return found;
    }

    /** The member after this router in the ring; null when there is none. */
    MemberRecord ringSuccessor() {
        Map.Entry<Long, MemberRecord> next = ring.higherEntry(ownRingPosition);
        next = next == null ? ring.firstEntry() : next;
        return next == null ? null : next.getValue();
    }

    /** The member that is probed next, each once a round; null when there is none. */
    MemberRecord nextProbeTarget() {
        if (probedCount >= live.size()) {
            for (int i = live.size() - 1; i > 0; i--) {
                swap(i, random.nextInt(i + 1));
            }
            probedCount = 0;
        }
        return live.isEmpty() ? null : live.get(probedCount++);
    }

    /** Up to so many members by chance, without that one, which may be null. */
    Collection<MemberRecord> randomMembers(int count, MemberRecord but) {
        return randomMembers(live, count, but);
    }

    /** Up to so many of those that are gone, by chance. */
    Collection<MemberRecord> randomDeadMembers(int count) {
        return randomMembers(dead, count, null);
    }

    private Collection<MemberRecord> randomMembers(List<MemberRecord> from, int count, MemberRecord but) {
        if (from.size() <= count + (but == null ? 0 : 1)) {
            return from.stream().filter(known -> known != but).limit(count).toList();
        }
        Set<MemberRecord> some = new LinkedHashSet<>();
        while (some.size() < count) {
            MemberRecord known = from.get(random.nextInt(from.size()));
            if (known != but) {
                some.add(known);
            }
        }
        return some;
    }

    int liveCount() {
        return live.size();
    }

    long rejectedNames() {
        return rejectedNames;
    }

    /** Forgets the gone and those that left before that. */
    void removeDeadBefore(double before) {
        byName.values().removeIf(known -> {
            boolean old = !known.isLive() && known.statusSince < before;
            if (old) {
                removeFromList(known);
            }
            return old;
        });
    }

    List<Peer> livePeers() {
        if (livePeers == null) {
            livePeers = live.stream()
                    .map(MemberRecord::peer)
                    .sorted(Comparator.comparing(Peer::member))
                    .toList();
        }
        return livePeers;
    }

    List<Member> possiblyServing(double goneSince) {
        var members = new ArrayList<Member>(live.size());
        livePeers().forEach(peer -> members.add(peer.member()));
        dead.stream()
                .filter(known -> known.statusSince > goneSince)
                .forEach(known -> members.add(known.peer().member()));
        return members;
    }
}
