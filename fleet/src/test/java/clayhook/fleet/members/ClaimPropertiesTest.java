package clayhook.fleet.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Packet;
import clayhook.fleet.Peer;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Whoever hears the same claims, in whatever order and however often, has the same roster. */
class ClaimPropertiesTest {
    private static Arbitrary<Claim> claimsOn(Arbitrary<String> names) {
        Arbitrary<Peer> peers = Combinators.combine(
                        names,
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.integers().between(1, 2))
                .as((name, boot, port) -> new Peer(new Member(name, boot), new Address("h", port)));
        return Combinators.combine(
                        peers,
                        Arbitraries.of(Standing.values()),
                        Arbitraries.longs().between(0, 3),
                        Arbitraries.longs().list().ofMinSize(1).ofMaxSize(6))
                .as(Claim::new);
    }

    @Provide
    Arbitrary<Claim> claims() {
        return claimsOn(Arbitraries.of("a"));
    }

    @Provide
    Arbitrary<List<Claim>> rosters() {
        return claimsOn(Arbitraries.of("a", "b", "c")).list().ofMaxSize(20);
    }

    @Property(tries = 3000, seed = "1")
    void aJoinHasNoOrder(@ForAll("claims") Claim a, @ForAll("claims") Claim b, @ForAll("claims") Claim c) {
        assertEquals(a.join(b), b.join(a));
        assertEquals(a.join(b).join(c), a.join(b.join(c)));
        assertEquals(a, a.join(a));
        assertEquals(a.join(b), a.join(b).join(b));
        assertTrue(a.peer().member().incarnation() <= b.peer().member().incarnation() || a.join(b) == a, "the younger life counts");
        assertTrue(
                !a.peer().equals(b.peer())
                        || a.standing() != Standing.LEFT
                        || a.join(b).standing() == Standing.LEFT,
                "final");
    }

    @Property(tries = 500, seed = "2")
    void aRosterHasNoOrder(@ForAll("rosters") List<Claim> claims, @ForAll long seed) {
        var mixed = new ArrayList<>(claims);
        mixed.addAll(claims);
        Collections.shuffle(mixed, new Random(seed));
        Register one = register(claims, 1);
        Register other = register(mixed, seed);
        assertEquals(one.others(), other.others());
        assertEquals(one.digest(), other.digest());
        assertTrue(one.differing(other.digests(), 0).isEmpty());
        claims.forEach(claim -> assertEquals(one.known(claim.name()).claim, other.known(claim.name()).claim));
    }

    private static Register register(List<Claim> claims, long seed) {
        var register = new Register("self", 1024, new SplittableRandom(seed));
        claims.forEach(claim -> {
            register.take(claim, 0, 0);
            register.next(); // rounds go on meanwhile
        });
        return register;
    }

    @Property(tries = 300, seed = "3")
    void whatIsWrittenIsRead(
            @ForAll("claims") Claim claim,
            @ForAll long boot,
            @ForAll("longest") String name,
            @ForAll("longest") String host) {
        var wide = new Claim(
                new Peer(new Member(name, boot), new Address(host + host, 65_535)),
                claim.standing(),
                1L << 49,
                claim.accusers());
        var out = new FieldWriter();
        new Word.Page(List.of(new Word.Page.Aged(wide, 1e9))).write(out);
        byte[] bytes = out.toByteArray();
        assertTrue(bytes.length <= Packet.MAX_MESSAGE_BYTES);
        assertEquals(wide, Word.Page.read(new FieldReader(bytes)).claims().get(0).claim());
        var alone = new FieldWriter();
        wide.write(alone);
        assertTrue(alone.toByteArray().length <= wide.room());
    }

    @Provide
    Arbitrary<String> longest() {
        return Arbitraries.strings().withCharRange('a', '\u2fff').ofMinLength(1).ofMaxLength(100);
    }
}
