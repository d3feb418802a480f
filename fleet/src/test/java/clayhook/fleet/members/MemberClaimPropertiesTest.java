package clayhook.fleet.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.Address;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.Packet;
import clayhook.fleet.Peer;
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

/** Checks that members which receive the same claims, in any order and any number of times, have equal tables. */
class MemberClaimPropertiesTest {
    private static Arbitrary<MemberClaim> claimsOn(Arbitrary<String> names) {
        Arbitrary<Peer> peers = Combinators.combine(
                        names,
                        Arbitraries.longs().between(1, 3),
                        Arbitraries.integers().between(1, 2))
                .as((name, incarnation, port) -> new Peer(new Member(name, incarnation), new Address("h", port)));
        return Combinators.combine(
                        peers,
                        Arbitraries.of(MemberStatus.values()),
                        Arbitraries.longs().between(0, 3),
                        Arbitraries.longs().list().ofMinSize(1).ofMaxSize(6))
                .as(MemberClaim::new);
    }

    @Provide
    Arbitrary<MemberClaim> claims() {
        return claimsOn(Arbitraries.of("a"));
    }

    @Provide
    Arbitrary<List<MemberClaim>> claimLists() {
        return claimsOn(Arbitraries.of("a", "b", "c")).list().ofMaxSize(20);
    }

    @SuppressWarnings("ReferenceEquality") // a merge returns the same instance as the winning claim
    @Property(tries = 3000, seed = "1")
    void mergeIsCommutativeAssociativeAndIdempotent(
            @ForAll("claims") MemberClaim a, @ForAll("claims") MemberClaim b, @ForAll("claims") MemberClaim c) {
        assertEquals(a.merge(b), b.merge(a));
        assertEquals(a.merge(b).merge(c), a.merge(b.merge(c)));
        assertEquals(a, a.merge(a));
        assertEquals(a.merge(b), a.merge(b).merge(b));
        assertTrue(
                a.peer().member().incarnation() <= b.peer().member().incarnation() || a.merge(b) == a,
                "the younger incarnation wins");
        assertTrue(
                !a.peer().equals(b.peer())
                        || a.status() != MemberStatus.LEFT
                        || a.merge(b).status() == MemberStatus.LEFT,
                "leaving is final");
    }

    @Property(tries = 500, seed = "2")
    void tableDoesNotDependOnTheOrderOfClaims(@ForAll("claimLists") List<MemberClaim> claims, @ForAll long seed) {
        var shuffled = new ArrayList<>(claims);
        shuffled.addAll(claims);
        Collections.shuffle(shuffled, new Random(seed));
        MembershipTable one = tableOf(claims, 1);
        MembershipTable other = tableOf(shuffled, seed);
        assertEquals(one.livePeers(), other.livePeers());
        assertEquals(one.digest(), other.digest());
        assertTrue(one.claimsInDifferingBuckets(other.bucketDigests(), 0).isEmpty());
        claims.forEach(claim -> assertEquals(one.find(claim.name()).claim, other.find(claim.name()).claim));
    }

    private static MembershipTable tableOf(List<MemberClaim> claims, long seed) {
        var table = new MembershipTable("self", 1024, new SplittableRandom(seed));
        claims.forEach(claim -> {
            table.merge(claim, 0, 0);
            table.nextProbeTarget(); // probes are interleaved with merges
        });
        return table;
    }

    @Property(tries = 300, seed = "3")
    void encodedClaimsAreDecodedUnchangedWithinTheirSizeLimit(
            @ForAll("claims") MemberClaim claim,
            @ForAll long incarnation,
            @ForAll("longNames") String name,
            @ForAll("longNames") String host) {
        var claimOfLongNames = new MemberClaim(
                new Peer(new Member(name, incarnation), new Address(host + host, 65_535)),
                claim.status(),
                1L << 49,
                claim.accusers());
        var out = new FieldWriter();
        new MembershipMessage.SyncPage(List.of(new MembershipMessage.SyncPage.AgedClaim(claimOfLongNames, 1e9)))
                .write(out);
        byte[] bytes = out.toByteArray();
        assertTrue(bytes.length <= Packet.MAX_MESSAGE_BYTES);
        assertEquals(
                claimOfLongNames,
                MembershipMessage.SyncPage.read(new FieldReader(bytes))
                        .claims()
                        .get(0)
                        .claim());
        var alone = new FieldWriter();
        claimOfLongNames.write(alone);
        assertTrue(alone.toByteArray().length <= claimOfLongNames.maxEncodedBytes());
    }

    @Provide
    Arbitrary<String> longNames() {
        return Arbitraries.strings().withCharRange('a', '\u2fff').ofMinLength(1).ofMaxLength(100);
    }
}
