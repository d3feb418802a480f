package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Packet;
import clayhook.fleet.Peer;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
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
record Claim(Peer peer, Standing standing, long counter, List<Long> accusers) {
    /** Accusers counted: one that begins and three that agree. More would not shorten the wait. */
    static final int MOST_ACCUSERS = 4;
    /** Of a host's name, as the name system has it. */
    private static final int LONGEST_HOST = 253;
    /** Beyond any number of refutations; leaves room to count on. */
    private static final long COUNTERS = 1L << 50;

    /**
     * Of two lives of one name; of two that began in the same millisecond the address tells which one counts, the same
     * everywhere.
     */
    static final Comparator<Peer> LIFE = (a, b) -> {
        int order = Long.compare(a.member().incarnation(), b.member().incarnation());
        order = order != 0 ? order : a.address().host().compareTo(b.address().host());
        return order != 0
                ? order
                : Integer.compare(a.address().port(), b.address().port());
    };

    Claim {
        accusers = standing == Standing.SUSPECTED ? least(accusers) : List.of();
    }

    static Claim alive(Peer peer, long counter) {
        return new Claim(peer, Standing.ALIVE, counter, List.of());
    }

    private static List<Long> least(Collection<Long> accusers) {
        return accusers.size() < 2
                ? List.copyOf(accusers)
                : new TreeSet<>(accusers).stream().limit(MOST_ACCUSERS).toList();
    }

    static long accuser(String name) {
        return Known.spot(name);
    }

    String name() {
        return peer.member().name();
    }

    boolean lives() {
        return standing.lives();
    }

    /** Above 0 where this one outdoes the other; 0 where at most their accusers differ. */
    private int compare(Claim other) {
        int order = LIFE.compare(peer, other.peer);
        order = order != 0 ? order : Boolean.compare(standing == Standing.LEFT, other.standing == Standing.LEFT);
        order = order != 0 ? order : Long.compare(counter, other.counter);
        return order != 0 ? order : standing.compareTo(other.standing);
    }

    /** Commutative, associative and idempotent, for claims on one name. */
    Claim join(Claim other) {
        int order = compare(other);
        if (order != 0 || standing != Standing.SUSPECTED) {
            return order < 0 ? other : this;
        }
        var all = new ArrayList<>(accusers);
        all.addAll(other.accusers);
        return new Claim(peer, standing, counter, all);
    }

    /** Whether a join with that one would keep this one whole. */
    boolean outdoes(Claim other) {
        return compare(other) > 0;
    }

    Claim as(Standing other, List<Long> accusers) {
        return new Claim(peer, other, counter, accusers);
    }

    /** Bytes that it takes on the wire, at most. */
    int room() {
        return 2 + room(name()) + 9 + room(peer.address().host()) + 5 + 1 + 9 + 1 + 9 * accusers.size();
    }

    private static int room(String text) {
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
        out.writeLong(standing.ordinal()).writeLong(counter).writeLong(accusers.size());
        accusers.forEach(out::writeLong);
    }

    static Claim read(FieldReader in) {
        String name = in.readNonEmptyString();
        if (name.length() > Packet.MAX_NAME_LENGTH) {
            throw new IllegalArgumentException("a name of " + name.length() + " characters");
        }
        var member = new Member(name, in.readLong());
        Address address = address(in);
        int standing = in.readIntBelow(Standing.values().length);
        long counter = counter(in);
        var accusers = new ArrayList<Long>();
        for (int left = in.readIntBelow(MOST_ACCUSERS + 1); left > 0; left--) {
            accusers.add(in.readLong());
        }
        return new Claim(new Peer(member, address), Standing.values()[standing], counter, accusers);
    }

    static Address address(FieldReader in) {
        String host = in.readNonEmptyString();
        if (host.length() > LONGEST_HOST) {
            throw new IllegalArgumentException("a host of " + host.length() + " characters");
        }
        return new Address(host, in.readIntBelow(1 << 16));
    }

    static long counter(FieldReader in) {
        long counter = in.readLong();
        if (counter < 0 || counter >= COUNTERS) {
            throw new IllegalArgumentException("a counter of " + counter);
        }
        return counter;
    }
}
