package clayhook.fleet.kinds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.Member;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** What this router may believe of nodes, of its share of limits, and of commands in doubt. */
class ReadersTest {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    @Example
    void hearsayIsOfOthersOnOurClockAndOfTheLifeThatIsListed() {
        var shared = new Memory();
        var others = List.of("ahead", "off", "b").stream()
                .map(name -> Sighted.peer(new Member(name, 1)))
                .toList();
        var hearsay = new Hearsay(shared, new Sighted(new Member("a", 1), others));
        var evidence = Evidence.none(50)
                .told(95, 1, new Sight(99, "ahead"))
                .role(true, new Sight(98, "a"))
                .role(false, new Sight(97, "b"))
                .heard(new Sight(96, "off"))
                .pace(0.5, new Sight(96, "b"))
                .load(3, new Sight(96, "gone"))
                .failed(2, new Sight(99, "b"))
                .failed(1, new Sight(98, "a"))
                .failed(1, new Sight(97, "gone"))
                .failed(3, new Sight(95, "before it was heard"));
        shared.merge(Evidence.KIND, Evidence.key("n"), evidence, 100);
        assertEquals(
                new Hearsay.Word(50, 95, 96, 1, 96, NEVER, 97, NEVER, 99, 2, 0.5, 0.3, 3, 0.15),
                hearsay.on("n", 50, 100));
        assertNull(hearsay.on("n", 60, 100), "of an earlier life");
        assertNull(hearsay.on("m", 0, 100));
        assertEquals(50, hearsay.on("n", 40, 100).nodeStart(), "the list is late");
        assertEquals(0, hearsay.on("n", 50, 108).strikes() - 1, "one strike is ten seconds old");
    }

    /** As time goes by without news nothing weighs more or gets younger than whoever saw it said. */
    @Property(tries = 300, seed = "27")
    void trustNeverRisesWithoutEvidence(@ForAll Random random) {
        var shared = new Memory();
        var hearsay = new Hearsay(shared, Sighted.of(0, List.of(1, 2)));
        var evidence = Evidence.none(0);
        double newest = 0;
        for (int i = 0; i < 8; i++) {
            var sight = Sight.of(100 + 4 * random.nextDouble(), "r" + random.nextInt(4));
            newest = Math.max(newest, sight.at());
            evidence = switch (random.nextInt(3)) {
                case 0 -> evidence.pace(random.nextDouble(), sight).heard(sight);
                case 1 -> evidence.failed(1, sight);
                default -> evidence.load(2, sight).told(99, 1, sight).role(random.nextBoolean(), sight);
            };
        }
        shared.merge(Evidence.KIND, "n", evidence, 100);
        Hearsay.Word last = hearsay.on("n", 0, 104);
        for (double now = 104; now < 130; now += random.nextDouble()) {
            Hearsay.Word word = hearsay.on("n", 0, now);
            assertTrue(
                    word.slownessWeight() <= last.slownessWeight()
                            && word.loadWeight() <= last.loadWeight()
                            && word.strikes() <= last.strikes(),
                    word + " after " + last);
            assertTrue(
                    word.heardAt() <= newest && word.primaryAt() <= newest && word.failedAt() <= newest,
                    word.toString());
            last = word;
        }
    }

    /**
     * Routers in two halves of a split use all they are left with, tell it or not, while some vanish and others start
     * anew.
     */
    @Property(tries = 100, seed = "27")
    void routersThatSeeEachOtherNeverUseMoreThanTheLimit(@ForAll Random random) {
        var limit = new Shares.Limit(Use.PROBES, 100, 4);
        int fleet = 2 + random.nextInt(7);
        var seen = IntStream.range(0, fleet).boxed().toList();
        var shared = new Memory();
        var shares = seen.stream()
                .map(i -> new Shares(shared, Sighted.of(i, seen), 1 + random.nextInt(fleet)))
                .toList();
        var uses = new java.util.ArrayList<double[]>();
        for (double now = 100; now < 120; now += random.nextDouble()) {
            double at = now;
            Shares one = shares.get(random.nextInt(fleet));
            double units = one.left(limit, at) * (random.nextBoolean() ? 1 : random.nextDouble());
            one.used(limit, units, at);
            one.tell(at);
            uses.add(new double[] {at, units});
            double sum = uses.stream()
                    .filter(use -> use[0] > at - limit.window())
                    .mapToDouble(use -> use[1])
                    .sum();
            assertTrue(sum <= limit.amount() * (1 + 1e-9), "used " + sum);
        }
        int rest = 1 + random.nextInt(fleet);
        double granted = seen.subList(0, rest).stream()
                .mapToDouble(i -> new Shares(shared, Sighted.of(i, seen.subList(0, rest)), fleet).share(limit, 120))
                .sum();
        assertTrue(granted <= limit.amount() * (1 + 1e-9), "granted " + granted);
        assertTrue(
                2 * rest > fleet || granted <= limit.amount() * rest / fleet + 1e-9,
                "a small side has its configured share");
    }

    @Example
    void sharesGoByTheLivingAndWhatVanishedFades() {
        var limit = new Shares.Limit(Use.REPEATS, 90, 10);
        var shared = new Memory();
        var before = new Shares(
                shared,
                new Sighted(new Member("r9", 1), Sighted.of(9, List.of(1, 2)).livePeers()),
                3);
        assertEquals(30, before.left(limit, 100), 1e-9);
        before.used(limit, 30, 100);
        assertEquals(0, before.left(limit, 100), 1e-9);
        before.tell(100);
        before.used(limit, 5, 100.5);
        before.tell(100.5); // too soon to be told
        assertEquals(
                3,
                shared.get(Use.KIND, Use.key(Use.REPEATS, new Member("r9", 1))).rate(),
                1e-9);
        assertEquals(30, before.left(limit, 120), 1e-9, "its window is over");
        var alone = new Shares(shared, Sighted.of(1, List.of(2)), 3);
        double[] ages = {5, 10, 15, 20}, left = {30, 30, 37.5, 45};
        IntStream.range(0, 4)
                .forEach(i -> assertEquals(left[i], alone.share(limit, 100 + ages[i]), 1e-9, "after " + ages[i]));
        var again = new Shares(
                shared,
                new Sighted(new Member("r9", 2), Sighted.of(9, List.of(1, 2)).livePeers()),
                3);
        assertEquals(20, again.left(limit, 105), 1e-9, "use before its own restart counts");
        var peers = new Shares(shared, new Sighted(Sighted.member(1), List.of(Sighted.peer(new Member("r9", 2)))), 2);
        assertEquals(20, peers.share(new Shares.Limit(Use.REPEATS, 70, 10), 105), 1e-9, "and at others");
        assertEquals(
                90 / 9.0,
                new Shares(shared, Sighted.of(1, List.of(2, 3, 4)), 9).share(limit, 200),
                1e-9,
                "just started");
    }

    @Example
    void fatesAreSortedAndConflictsToldOnce() {
        var shared = new Memory();
        var fates = new Fates(shared, Fate.KIND);
        var early = Fate.Sent.of(100, 1, "pay", "toll 1");
        var late = Fate.Sent.of(200, 1, "pay", null);
        shared.merge(Fate.KIND, "k2", Fate.unknown(late), 200);
        shared.merge(Fate.KIND, "k9", Fate.ran(early, Fate.Witness.of(150, "b", "n1")), 200);
        shared.merge(Fate.KIND, "k3", Fate.unknown(late), 200);
        shared.merge(Fate.KIND, "k3", Fate.notRun(late, Fate.Witness.of(220, "b", "n1")), 200);
        assertEquals(
                List.of("k9", "k2", "k3"),
                fates.rows(0, 300).stream().map(Fates.Row::key).toList());
        assertEquals(
                List.of("k2", "k3"),
                fates.rows(200, 300).stream().map(Fates.Row::key).toList());
        assertEquals(List.of(), fates.newConflicts());
        for (int i = 0; i < 2; i++) {
            shared.merge(Fate.KIND, "k9", Fate.notRun(early, Fate.Witness.of(140 + i, "c", "n2")), 201);
        }
        var conflict = fates.newConflicts();
        assertEquals(List.of("k9"), conflict.stream().map(Fates.Row::key).toList());
        Fate both = conflict.get(0).fate();
        assertEquals(
                List.of(new Sight(150, "b"), new Sight(140, "c")),
                List.of(both.ran().sight(), both.notRun().sight()));
        shared.merge(Fate.KIND, "k9", Fate.ran(early, Fate.Witness.of(149, "b", "n1")), 202);
        assertEquals(List.of(), fates.newConflicts());
        assertEquals(List.of(1, 0, 1, 1), List.copyOf(fates.counts().values()));
        shared.floor = 150;
        assertEquals(150, fates.missingBefore(300));
    }
}
