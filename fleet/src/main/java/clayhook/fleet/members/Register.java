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
final class Register {
    private static final int BUCKET_BITS = 8;
    /** Parts of the digest, by hash of the name; half of each fills most of a packet. */
    static final int BUCKETS = 1 << BUCKET_BITS;

    /** Where this router stands in the ring. */
    private final long spot;

    private final int most;
    private final SplittableRandom chance;
    /** Emptied of the gone and those that left, when they were remembered long enough; bound by {@code most}. */
    private final Map<String, Known> byName = new HashMap<>();
    /** In the order in which they are probed: shuffled after each round. */
    private final List<Known> living = new ArrayList<>();

    private final List<Known> gone = new ArrayList<>();
    /**
     * The living by the hash of their names: neighbours there share neither a host nor a failure more than others do.
     */
    private final NavigableMap<Long, Known> ring = new TreeMap<>();

    private final int[] digests = new int[BUCKETS];
    private long digest;
    private Claim own;
    private long ownHash;
    private int probed;
    private long refused;
    /** Null when it is to be made again. */
    private List<Peer> others;

    /** @param name of this router itself */
    Register(String name, int most, SplittableRandom chance) {
        spot = Known.spot(name);
        this.most = most;
        this.chance = chance;
    }

    /** Null for a name that is not known. */
    Known known(String name) {
        return byName.get(name);
    }

    /** Null unless it is that very life that counts. */
    Known known(Member member) {
        Known known = byName.get(member.name());
        return known != null && known.is(member) ? known : null;
    }

    /** Joins a claim in; null for a name that there is no room for. */
    Known take(Claim claim, double since, double now) {
        Known known = byName.get(claim.name());
        if (known == null) {
            if (byName.size() >= most) {
                refused++;
                return null;
            }
            known = new Known(claim, since, now);
            byName.put(claim.name(), known);
            list(known);
            count(known);
            return known;
        }
        Claim joined = known.claim.join(claim);
        if (!joined.equals(known.claim)) {
            replace(known, joined, since, now);
        }
        return known;
    }

    private void replace(Known known, Claim joined, double since, double now) {
        boolean sameLife = joined.peer().equals(known.peer());
        if (!sameLife) {
            known.begin(since, now);
        } else if (joined.standing() != known.claim.standing()) {
            known.since = since;
        }
        boolean moves = listFor(joined) != listFor(known.claim);
        if (moves) {
            unlist(known);
        }
        others = sameLife && !moves ? others : null;
        known.claim = joined;
        if (moves) {
            list(known);
        }
        count(known);
    }

    /** Null for those that left. */
    private List<Known> listFor(Claim claim) {
        return claim.lives() ? living : claim.standing() == Standing.GONE ? gone : null;
    }

    /** At a place by chance among those that are still to be probed in this round. */
    private void list(Known known) {
        others = null;
        List<Known> list = listFor(known.claim);
        if (list == null) {
            return;
        }
        known.place = list.size();
        list.add(known);
        if (list == living) {
            ring.put(known.spot, known); // of two names with one hash one has no place, and is found by the rounds
        }
        if (list == living && probed < living.size()) {
            swap(known.place, chance.nextInt(probed, living.size()));
        }
    }

    private void unlist(Known known) {
        others = null;
        List<Known> list = listFor(known.claim);
        if (list == null) {
            return;
        }
        if (list == living) {
            ring.remove(known.spot, known);
        }
        if (list == living && known.place < probed) {
            swap(known.place, --probed); // so that what fills its place is not left out of this round
        }
        Known last = list.remove(list.size() - 1);
        if (last != known) {
            list.set(known.place, last);
            last.place = known.place;
        }
    }

    private void swap(int one, int other) {
        Known a = living.get(one);
        Known b = living.get(other);
        living.set(one, b);
        living.set(other, a);
        b.place = one;
        a.place = other;
    }

    private void count(Known known) {
        long hash = known.lives() ? hash(known.claim) : 0;
        count(known.spot, hash - known.hash);
        known.hash = hash;
    }

    private void count(long spot, long more) {
        digests[bucket(spot)] += (int) more;
        digest += more;
    }

    private static long hash(Claim claim) {
        Peer peer = claim.peer();
        return Hashing.komihash5_0()
                .hashStream()
                .putString(peer.member().name())
                .putLong(peer.member().incarnation())
                .putString(peer.address().host())
                .putInt(peer.address().port())
                .putLong(claim.counter())
                .getAsLong();
    }

    private static int bucket(long spot) {
        return (int) (spot >>> Long.SIZE - BUCKET_BITS);
    }

    /**
     * What this router says of itself, which others have in their rosters; it does not count where its name has a
     * younger life.
     */
    void own(Claim claim) {
        long hash = claim.lives() && !byName.containsKey(claim.name()) ? hash(claim) : 0;
        count(spot, hash - ownHash);
        ownHash = hash;
        own = hash == 0 ? null : claim;
    }

    /** Equal for equal sets of living members with equal counters. */
    long digest() {
        return digest;
    }

    int[] digests() {
        return digests.clone();
    }

    /**
     * All that is known of the names where those digests differ, in an order by chance; this router's own claim first.
     */
    List<Word.Page.Aged> differing(int[] theirs, double now) {
        var found = new ArrayList<Word.Page.Aged>();
        for (Known known : byName.values()) {
            int bucket = bucket(known.spot);
            if (theirs[bucket] != digests[bucket]) {
                found.add(new Word.Page.Aged(known.claim, Math.max(0, now - known.since)));
            }
        }
        for (int i = found.size() - 1; i > 0; i--) {
            found.set(i, found.set(chance.nextInt(i + 1), found.get(i)));
        }
        if (own != null) {
            found.add(0, new Word.Page.Aged(own, 0));
        }
        return found;
    }

    /** The member after this router in the ring; null when there is none. */
    Known neighbour() {
        Map.Entry<Long, Known> next = ring.higherEntry(spot);
        next = next == null ? ring.firstEntry() : next;
        return next == null ? null : next.getValue();
    }

    /** The member that is probed next, each once a round; null when there is none. */
    Known next() {
        if (probed >= living.size()) {
            for (int i = living.size() - 1; i > 0; i--) {
                swap(i, chance.nextInt(i + 1));
            }
            probed = 0;
        }
        return living.isEmpty() ? null : living.get(probed++);
    }

    /** Up to so many members by chance, without that one, which may be null. */
    Collection<Known> some(int count, Known but) {
        return some(living, count, but);
    }

    /** Up to so many of those that are gone, by chance. */
    Collection<Known> someGone(int count) {
        return some(gone, count, null);
    }

    private Collection<Known> some(List<Known> from, int count, Known but) {
        if (from.size() <= count + (but == null ? 0 : 1)) {
            return from.stream().filter(known -> known != but).limit(count).toList();
        }
        Set<Known> some = new LinkedHashSet<>();
        while (some.size() < count) {
            Known known = from.get(chance.nextInt(from.size()));
            if (known != but) {
                some.add(known);
            }
        }
        return some;
    }

    int living() {
        return living.size();
    }

    long refused() {
        return refused;
    }

    /** Forgets the gone and those that left before that. */
    void forget(double before) {
        byName.values().removeIf(known -> {
            boolean old = !known.lives() && known.since < before;
            if (old) {
                unlist(known);
            }
            return old;
        });
    }

    List<Peer> others() {
        if (others == null) {
            others = living.stream()
                    .map(Known::peer)
                    .sorted(Comparator.comparing(Peer::member))
                    .toList();
        }
        return others;
    }

    List<Member> mayServe(double goneSince) {
        var members = new ArrayList<Member>(living.size());
        others().forEach(peer -> members.add(peer.member()));
        gone.stream()
                .filter(known -> known.since > goneSince)
                .forEach(known -> members.add(known.peer().member()));
        return members;
    }
}
