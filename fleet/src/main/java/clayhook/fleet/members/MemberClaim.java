package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.Packet;
import clayhook.fleet.Peer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * How a life of a router stands, as somebody says. Two claims on one name are joined: the younger life counts; in one
 * life having left is final, then the higher counter counts, then the worse standing.
 *
 * @param counter how often it has refuted others in this life
 * @param accusers of a suspect: the least few of the hashes of their names, in order; else empty
 */
record MemberClaim(Peer peer, MemberStatus status, long refutationCount, List<Long> accusers) {
    /** Accusers counted: one that begins and three that agree. More would not shorten the wait. */
    static final int MAX_ACCUSERS = 4;
    /** Of a host's name, as the name system has it. */
    private static final int MAX_HOST_LENGTH = 253;
    /** Beyond any number of refutations; leaves room to count on. */
    private static final long REFUTATION_COUNT_LIMIT = 1L << 50;

    /**
     * Of two lives of one name; of two that began in the same millisecond the address tells which one counts, the same
     * everywhere.
     */
    static final Comparator<Peer> INCARNATION_ORDER = (a, b) -> {
        int order = Long.compare(a.member().incarnation(), b.member().incarnation());
        order = order != 0 ? order : a.address().host().compareTo(b.address().host());
        return order != 0
                ? order
                : Integer.compare(a.address().port(), b.address().port());
    };

    MemberClaim {
        accusers = status == MemberStatus.SUSPECT ? smallestDistinct(accusers) : List.of();
    }

    static MemberClaim alive(Peer peer, long counter) {
        return new MemberClaim(peer, MemberStatus.ALIVE, counter, List.of());
    }

    private static List<Long> smallestDistinct(Collection<Long> accusers) {
        return accusers.size() < 2
                ? List.copyOf(accusers)
                : new TreeSet<>(accusers).stream().limit(MAX_ACCUSERS).toList();
    }

    static long accuserHash(String name) {
        return MemberRecord.ringPosition(name);
    }

    String name() {
        return peer.member().name();
    }

    boolean isLive() {
        return status.isLive();
    }

    /** Above 0 where this one outdoes the other; 0 where at most their accusers differ. */
    private int compare(MemberClaim other) {
        int order = INCARNATION_ORDER.compare(peer, other.peer);
        order = order != 0 ? order : Boolean.compare(status == MemberStatus.LEFT, other.status == MemberStatus.LEFT);
        order = order != 0 ? order : Long.compare(refutationCount, other.refutationCount);
        return order != 0 ? order : status.compareTo(other.status);
    }

    /** Commutative, associative and idempotent, for claims on one name. */
    MemberClaim merge(MemberClaim other) {
        int order = compare(other);
        if (order != 0 || status != MemberStatus.SUSPECT) {
            return order < 0 ? other : this;
        }
        var all = new ArrayList<>(accusers);
        all.addAll(other.accusers);
        return new MemberClaim(peer, status, refutationCount, all);
    }

    /** Whether a join with that one would keep this one whole. */
    boolean supersedes(MemberClaim other) {
        return compare(other) > 0;
    }

    MemberClaim withStatus(MemberStatus other, List<Long> accusers) {
        return new MemberClaim(peer, other, refutationCount, accusers);
    }

    /** Bytes that it takes on the wire, at most. */
    int maxEncodedBytes() {
        return 2
                + maxEncodedBytes(name())
                + 9
                + maxEncodedBytes(peer.address().host())
                + 5
                + 1
                + 9
                + 1
                + 9 * accusers.size();
    }

    private static int maxEncodedBytes(String text) {
        int room = 3;
        for (int i = 0; i < text.length(); i++) {
            room += text.charAt(i) < 0x80 ? 1 : 3;
        }
        return room;
    }

    void write(FieldWriter out) {
        out.writeNullableString(name())
                .writeLong(peer.member().incarnation())
                .writeNullableString(peer.address().host())
                .writeLong(peer.address().port());
        out.writeLong(status.ordinal()).writeLong(refutationCount).writeLong(accusers.size());
        accusers.forEach(out::writeLong);
    }

    static MemberClaim read(FieldReader in) {
        String name = in.readNonEmptyString();
        if (name.length() > Packet.MAX_NAME_LENGTH) {
            throw new IllegalArgumentException("a name of " + name.length() + " characters");
        }
        var member = new Member(name, in.readLong());
        Address address = readAddress(in);
        int standing = in.readIntBelow(MemberStatus.values().length);
        long counter = readRefutationCount(in);
        var accusers = new ArrayList<Long>();
        for (int left = in.readIntBelow(MAX_ACCUSERS + 1); left > 0; left--) {
            accusers.add(in.readLong());
        }
        return new MemberClaim(new Peer(member, address), MemberStatus.values()[standing], counter, accusers);
    }

    static Address readAddress(FieldReader in) {
        String host = in.readNonEmptyString();
        if (host.length() > MAX_HOST_LENGTH) {
            throw new IllegalArgumentException("a host of " + host.length() + " characters");
        }
        return new Address(host, in.readIntBelow(1 << 16));
    }

    static long readRefutationCount(FieldReader in) {
        long counter = in.readLong();
        if (counter < 0 || counter >= REFUTATION_COUNT_LIMIT) {
            throw new IllegalArgumentException("a counter of " + counter);
        }
        return counter;
    }
}
