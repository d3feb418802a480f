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
 * A claim of some router about the status of an incarnation of a router. Claims on the same name are merged: the later
 * incarnation wins. Within one incarnation, {@link MemberStatus#LEFT} is final; otherwise the higher refutation count
 * wins, and with equal counts the status that {@link MemberStatus} declares later.
 *
 * @param refutationCount the number of claims of other routers that the incarnation has refuted
 * @param accusers for a suspect, the smallest hashes of its accusers' names in ascending order, at most
 *     {@value #MAX_ACCUSERS}; empty for any other status
 */
record MemberClaim(Peer peer, MemberStatus status, long refutationCount, List<Long> accusers) {
    /**
     * Maximum number of accusers: the first one and three that confirm the suspicion. Further accusers would not
     * shorten the suspicion timeout.
     */
    static final int MAX_ACCUSERS = 4;

    /**
     * Orders the incarnations of one name by start time. If two of them started in the same millisecond, the address
     * determines the same order at every router.
     */
    static final Comparator<Peer> INCARNATION_ORDER = Comparator.<Peer>comparingLong(
                    peer -> peer.member().incarnation())
            .thenComparing(peer -> peer.address().host())
            .thenComparingInt(peer -> peer.address().port());

    /** Maximum length of a host name in DNS, in characters. */
    private static final int MAX_HOST_LENGTH = 253;

    private static final int PORT_LIMIT = 1 << Character.SIZE;
    /**
     * Exclusive limit of refutation counts. It exceeds any real number of refutations, and leaves room to increment a
     * count without overflow.
     */
    private static final long REFUTATION_COUNT_LIMIT = 1L << 50;

    private static final int MAX_LIST_BYTES = 2;
    private static final int MAX_LONG_BYTES = 9;
    private static final int MAX_PORT_BYTES = 5;
    private static final int MAX_SMALL_NUMBER_BYTES = 1;
    private static final int MAX_STRING_HEADER_BYTES = 3;
    private static final int MAX_UTF8_BYTES_PER_CHAR = 3;
    private static final int ASCII_LIMIT = 0x80;

    MemberClaim {
        accusers = status == MemberStatus.SUSPECT ? smallestDistinct(accusers) : List.of();
    }

    static MemberClaim alive(Peer peer, long refutationCount) {
        return new MemberClaim(peer, MemberStatus.ALIVE, refutationCount, List.of());
    }

    private static List<Long> smallestDistinct(Collection<Long> accusers) {
        return accusers.size() < 2
                ? List.copyOf(accusers)
                : new TreeSet<>(accusers).stream().limit(MAX_ACCUSERS).toList();
    }

    /** Returns the hash that represents a member of this name in {@link #accusers}. */
    static long accuserHash(String name) {
        return MemberRecord.ringPosition(name);
    }

    String name() {
        return peer.member().name();
    }

    boolean isLive() {
        return status.isLive();
    }

    /**
     * Compares the precedence of two claims. The result is positive if this claim wins over the other, and 0 if at most
     * their accusers differ.
     */
    private int comparePrecedence(MemberClaim other) {
        int order = INCARNATION_ORDER.compare(peer, other.peer);
        if (order == 0) {
            order = Boolean.compare(status == MemberStatus.LEFT, other.status == MemberStatus.LEFT);
        }
        if (order == 0) {
            order = Long.compare(refutationCount, other.refutationCount);
        }
        return order != 0 ? order : status.compareTo(other.status);
    }

    /** Merges two claims on the same name. The operation is commutative, associative and idempotent. */
    MemberClaim merge(MemberClaim other) {
        int order = comparePrecedence(other);
        if (order != 0 || status != MemberStatus.SUSPECT) {
            return order < 0 ? other : this;
        }
        var allAccusers = new ArrayList<>(accusers);
        allAccusers.addAll(other.accusers);
        return new MemberClaim(peer, status, refutationCount, allAccusers);
    }

    /** Returns whether this claim takes precedence over the other, so that a merge of the two results in this claim. */
    boolean supersedes(MemberClaim other) {
        return comparePrecedence(other) > 0;
    }

    /**
     * Returns a claim on the same incarnation with the same refutation count, and with the given status and accusers.
     */
    MemberClaim withStatus(MemberStatus newStatus, List<Long> accusers) {
        return new MemberClaim(peer, newStatus, refutationCount, accusers);
    }

    /** Returns an upper bound of the encoded size of this claim in bytes. */
    int maxEncodedBytes() {
        return MAX_LIST_BYTES
                + maxStringBytes(name())
                + MAX_LONG_BYTES
                + maxStringBytes(peer.address().host())
                + MAX_PORT_BYTES
                + MAX_SMALL_NUMBER_BYTES
                + MAX_LONG_BYTES
                + MAX_SMALL_NUMBER_BYTES
                + MAX_LONG_BYTES * accusers.size();
    }

    private static int maxStringBytes(String text) {
        int bytes = MAX_STRING_HEADER_BYTES;
        for (int i = 0; i < text.length(); i++) {
            bytes += text.charAt(i) < ASCII_LIMIT ? 1 : MAX_UTF8_BYTES_PER_CHAR;
        }
        return bytes;
    }

    void write(FieldWriter out) {
        out.writeNullableString(name());
        out.writeLong(peer.member().incarnation());
        out.writeNullableString(peer.address().host());
        out.writeLong(peer.address().port());
        out.writeLong(status.code());
        out.writeLong(refutationCount);
        out.writeLong(accusers.size());
        accusers.forEach(out::writeLong);
    }

    /** @throws IllegalArgumentException for fields out of range */
    static MemberClaim read(FieldReader in) {
        String name = in.readNonEmptyString();
        if (name.length() > Packet.MAX_NAME_LENGTH) {
            throw new IllegalArgumentException("member name is too long: " + name.length() + " characters");
        }
        var member = new Member(name, in.readLong());
        Address address = readAddress(in);
        MemberStatus status = MemberStatus.ofCode(in.readLong());
        long refutationCount = readRefutationCount(in);
        var accusers = new ArrayList<Long>();
        for (int remaining = in.readIntBelow(MAX_ACCUSERS + 1); remaining > 0; remaining--) {
            accusers.add(in.readLong());
        }
        return new MemberClaim(new Peer(member, address), status, refutationCount, accusers);
    }

    /** @throws IllegalArgumentException for a host or port out of range */
    static Address readAddress(FieldReader in) {
        String host = in.readNonEmptyString();
        if (host.length() > MAX_HOST_LENGTH) {
            throw new IllegalArgumentException("host name is too long: " + host.length() + " characters");
        }
        return new Address(host, in.readIntBelow(PORT_LIMIT));
    }

    /** @throws IllegalArgumentException for a count out of range */
    static long readRefutationCount(FieldReader in) {
        long count = in.readLong();
        if (count < 0 || count >= REFUTATION_COUNT_LIMIT) {
            throw new IllegalArgumentException("refutation count is out of range: " + count);
        }
        return count;
    }
}
