package clayhook.fleet.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.Address;
import clayhook.fleet.MessageDispatcher;
import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import clayhook.fleet.VirtualNetwork;
import clayhook.fleet.VirtualNetwork.Host;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Rosters of a whole fleet over a network that does its worst. */
class MembersTest {
    /** What one router's roster told, as {@code what name}, in order. */
    private static final class Log implements Members.Listener {
        final List<String> lines = new ArrayList<>();

        private void add(String what, Peer member) {
            lines.add(what + " " + member.member().name());
        }

        @Override
        public void joined(Peer member, double now) {
            add("joined", member);
        }

        @Override
        public void suspected(Peer member, int accusers, double now) {
            add("suspected", member);
        }

        @Override
        public void alive(Peer member, double now) {
            add("alive", member);
        }

        @Override
        public void gone(Peer member, double now) {
            add("gone", member);
        }

        @Override
        public void left(Peer member, double now) {
            add("left", member);
        }

        @Override
        public void twins(Peer counts, Peer other, double now) {
            lines.add("twins " + counts.member().incarnation() + " " + other.member().incarnation());
        }

        @Override
        public void clockOff(Peer member, double ahead, double now) {
            add("off", member);
        }

        @Override
        public void clockFine(Peer member, double ahead, double now) {
            add("fine", member);
        }
    }

    private record Router(Host host, Members members, Log log) {
        Member member() {
            return members.self().member();
        }
    }

    private static final class Site {
        final VirtualNetwork network;
        final long seed;
        final Map<String, Router> routers = new LinkedHashMap<>();
        MemberSettings settings = MemberSettings.DEFAULT;
        List<Address> seeds = List.of(new Address("nowhere", 1), address(0), address(1));

        Site(long seed) {
            this.seed = seed;
            network = new VirtualNetwork(seed);
        }

        static Address address(int i) {
            return new Address("10.0." + i / 250 + "." + i % 250, 7100);
        }

        Router start(String name, Address address, double clockAhead) {
            var log = new Log();
            var made = new Members[1];
            Host host = network.start(address, clockAhead, (self, wire) -> {
                var member = new Member(name, (long) (self.clock() * 1000));
                made[0] = new Members(
                        settings,
                        new Peer(member, address),
                        seeds,
                        seed * 7919 + address.hashCode(),
                        self.clock(),
                        log);
                return new MessageDispatcher(member, List.of(made[0]), wire);
            });
            var router = new Router(host, made[0], log);
            routers.put(name, router);
            return router;
        }

        static Site of(int size, long seed) {
            return new Site(seed).with(size);
        }

        Site with(int size) {
            IntStream.range(0, size).forEach(i -> start("router-" + i, address(i), 0));
            if (size > 500 && !Boolean.getBoolean("members.join")) {
                introduceAll(); // a million first meetings cost 20 s of work
            }
            assertTrue(
                    network.runUntil(this::whole, 30),
                    () -> "no whole roster: "
                            + all().get(size - 1).members.livePeers().size());
            return this;
        }

        private void introduceAll() {
            var page = new Word.Page(all().stream()
                    .map(router -> new Word.Page.Aged(Claim.alive(router.members.self(), 0), 0))
                    .toList());
            all().forEach(router -> router.members.onMessage(
                    new Peer(new Member("teller", 0), address(0)), page, network.now, (to, part) -> {}));
        }

        List<Router> all() {
            return List.copyOf(routers.values());
        }

        Router get(int i) {
            return routers.get("router-" + i);
        }

        boolean whole() {
            return all(router -> router.members.livePeers().size() == routers.size() - 1);
        }

        boolean all(Predicate<Router> holds) {
            return routers.values().stream().allMatch(holds);
        }

        long told(String start) {
            return routers.values().stream()
                    .flatMap(router -> router.log.lines.stream())
                    .filter(line -> line.startsWith(start))
                    .count();
        }

        Router kill(int i) {
            Router killed = routers.remove("router-" + i);
            killed.host.kill();
            return killed;
        }

        double bytes() {
            return routers.values().stream()
                    .mapToLong(router -> router.host.dispatcher.counters().sentBytes)
                    .average()
                    .orElseThrow();
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 0, 3", "2, 0, 3", "3, 0.2, 5", "4, 0.2, 5"})
    void theKilledIsGoneEverywhereSoonAndNobodyElseIs(long seed, double lost, double within) {
        Site site = Site.of(100, seed);
        site.network.lossProbability = lost;
        site.network.duplicationProbability = lost;
        site.network.maxDelay = lost == 0 ? 0.002 : 0.05;
        site.network.run(120);
        assertEquals(0, site.told("gone"));
        assertEquals(lost > 0, site.told("suspected") > 0);
        Router killed = null;
        for (int i = 10; i < 20; i++) {
            Router last = site.kill(i);
            assertTrue(site.network.runUntil(() -> site.all(router -> !router.members.isLive(last.member())), within));
            killed = last;
        }
        assertEquals(90 * 10, site.told("gone"));
        assertTrue(site.get(3).members.possiblyServing(site.network.now).contains(killed.member()));
        site.network.run(MemberSettings.DEFAULT.deadAfter());
        assertFalse(site.get(3).members.possiblyServing(site.network.now).contains(killed.member()));
        assertEquals(90 * 10, site.told("gone"));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void oneWhoLeavesIsOutAtOnceAndStaysOut(long seed) {
        Site site = Site.of(100, seed);
        Router leaver = site.routers.remove("router-5");
        leaver.members.leave(site.network.now, (to, part) -> {});
        assertTrue(site.network.runUntil(() -> site.all(router -> !router.members.isLive(leaver.member())), 1));
        assertTrue(site.all(router -> !router.members.possiblyServing(site.network.now).contains(leaver.member())));
        site.network.run(10); // it drains, and still answers
        assertEquals(99, site.told("left"));
        assertEquals(0, site.told("gone") + site.told("alive"));
        leaver.host.kill();
        Router again = site.start("router-5", leaver.host.address, 0);
        assertTrue(site.network.runUntil(site::whole, 5));
        assertTrue(site.all(router -> router == again || router.members.isLive(again.member())));
    }

    @ParameterizedTest
    @CsvSource({"2, 1", "5, 2", "100, 3"})
    void aLinkCutOneWayOrBothIsNoDeath(int size, long seed) {
        Site site = Site.of(Math.max(3, size), seed);
        site.network.partitioned = (from, to) -> from == site.get(0).host && to == site.get(1).host
                || size > 2 && from == site.get(1).host && to == site.get(0).host;
        site.network.run(60);
        assertEquals(0, site.told("suspected"));
    }

    /**
     * @param remember so short that each side has forgotten the other, which the seeds must mend; else no seed is left
     *     to
     */
    @ParameterizedTest
    @CsvSource({"60, 30, 1", "60, 3600, 2", "5, 3600, 3", "2, 30, 4"})
    void sidesOfACutFindEachOther(int size, double remember, long seed) {
        var site = new Site(seed);
        MemberSettings d = MemberSettings.DEFAULT;
        site.settings = new MemberSettings(
                d.period(),
                d.retry(),
                d.helpers(),
                d.gossip(),
                d.fan(),
                d.suspicion(),
                d.alone(),
                d.knock(),
                d.knockMost(),
                remember,
                d.deadAfter(),
                d.clockBound(),
                d.late(),
                d.mostNames());
        site.with(size);
        if (remember > 60) {
            site.kill(0);
            site.kill(1);
        }
        var half = site.all().stream()
                .filter(router -> router.host.address.hashCode() % 2 == 0)
                .map(Router::host)
                .collect(Collectors.toSet());
        site.network.partitioned = (from, to) -> half.contains(from) != half.contains(to);
        site.network.run(80);
        assertTrue(site.all(router -> router.members.livePeers().size()
                == (half.contains(router.host) ? half.size() : site.routers.size() - half.size()) - 1));
        site.all().forEach(router -> router.log.lines.clear());
        site.network.partitioned = (from, to) -> false;
        double healed = site.network.now;
        assertTrue(site.network.runUntil(site::whole, 12));
        System.out.printf(
                "%d members, %s: whole %.2f s after the heal%n",
                size, remember > 60 ? "remembered" : "forgotten", site.network.now - healed);
        site.network.run(10);
        assertEquals(0, site.told("gone"), "nobody is lost again on the way");
    }

    @ParameterizedTest
    @CsvSource({"1, 0.7, 0", "1, 1.7, 0", "2, 1.7, 0", "3, 1.7, 0", "4, 1.7, 0", "5, 8, 99", "6, 60, 99"})
    void whoStoodStillDoubtsItself(long seed, double seconds, int gone) {
        Site site = Site.of(100, seed);
        Router stood = site.get(9);
        stood.host.stall(seconds);
        site.network.run(seconds - 0.01);
        site.network.partitioned =
                (from, to) -> gone > 0 && (from == stood.host || to == stood.host); // its links are slow to come back
        stood.log.lines.clear();
        site.network.run(0.02);
        assertTrue(stood.members.recentlyStalled(site.network.now));
        site.network.run(gone > 0 ? 2 : 0);
        site.network.partitioned = (from, to) -> false;
        assertTrue(site.network.runUntil(
                () -> site.all(router -> router == stood || router.members.isLive(stood.member())), 3));
        site.network.run(10);
        assertFalse(stood.members.recentlyStalled(site.network.now));
        assertEquals(List.of(), stood.log.lines, "it accuses nobody");
        assertEquals(gone, site.told("gone"), "nobody but it was gone, and only when it stood for long");
        assertTrue(site.whole());
    }

    @Test
    void twoProcessesOfOneNameAreToldApartAndTheYoungerCounts() {
        Site site = Site.of(20, 5);
        Router older = site.get(7);
        Router younger = site.start("router-7", new Address("10.9.9.9", 7100), 0);
        assertTrue(site.network.runUntil(() -> older.members.replaced() && site.whole(), 5));
        site.network.run(20);
        String line = "twins " + younger.member().incarnation() + " " + older.member().incarnation();
        assertEquals(
                List.of(line),
                older.log.lines.stream()
                        .filter(told -> told.startsWith("twins"))
                        .toList());
        assertTrue(site.all(router -> router.members.livePeers().contains(younger.members.self()) != (router == younger)));
        assertTrue(site.told(line) > 10, "the others are told once each that hears both");
        assertTrue(site.all(
                router -> router.log.lines.stream().filter(line::equals).count() <= 1));
        assertFalse(younger.members.replaced());
    }

    @ParameterizedTest
    @ValueSource(doubles = {-3600, -0.7, 0.2, 0.7, 3600})
    void aClockThatIsOffIsMeasuredAndToldOnce(double ahead) {
        var site = new Site(6);
        Router off = site.start("off", Site.address(30), ahead);
        site.network.minDelay = 0.02;
        site.network.maxDelay = 0.1;
        site.with(10);
        site.network.run(30);
        boolean far = Math.abs(ahead) > 0.5;
        Predicate<Router> isOff = router -> router == off;
        assertTrue(site.all(isOff.or(router -> Math.abs(router.members.clockOffset(off.member()) - ahead) < 0.05)));
        assertTrue(site.all(isOff.or(router -> router.members.clockWithinBound(off.member()) != far)));
        assertEquals(far ? 20 : 0, site.told("off"), "each of ten of it, and it of each");
        assertEquals(0, site.told("gone"));
        for (int i = 0; i < 1000 && Math.abs(ahead) == 0.7; i++) { // led back, as the process's clock is
            off.host.clockOffset -= 0.0005 * Math.signum(ahead);
            site.network.run(0.1);
        }
        assertEquals(Math.abs(ahead) == 0.7 ? 10 : 0, site.told("fine off"));
    }

    @Test
    void namesBeyondTheBoundAreRefused() {
        Site site = Site.of(2, 8);
        Members one = site.get(0).members;
        for (int i = 0; i < 17_000; i++) {
            Claim claim = Claim.alive(new Peer(new Member("name-" + i, 1), Site.address(i)), 0);
            one.onMessage(site.get(1).members.self(), new Word.News(List.of(claim)), site.network.now, (to, part) -> {});
        }
        assertEquals(MemberSettings.DEFAULT.mostNames(), one.livePeers().size());
        assertEquals(17_001 - MemberSettings.DEFAULT.mostNames(), one.refused());
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1000})
    void trafficIsFlatWhateverTheSize(int size) {
        long began = System.nanoTime();
        Site site = Site.of(size, 9);
        double joined = site.network.now - VirtualNetwork.START_TIME;
        double joining = site.bytes();
        site.network.run(10);
        double before = site.bytes();
        site.network.run(20);
        double idle = (site.bytes() - before) / 20;
        Router killed = site.kill(5);
        double at = site.network.now;
        before = site.bytes();
        assertTrue(site.network.runUntil(() -> site.all(router -> !router.members.isLive(killed.member())), 6));
        System.out.printf(
                "%d members: whole after %.2f s and %.0f bytes a router; idle %.0f bytes/s; killed known after %.2f s, "
                        + "%.0f bytes/s; %.1f s of work%n",
                size,
                joined,
                joining,
                idle,
                site.network.now - at,
                (site.bytes() - before) / (site.network.now - at),
                (System.nanoTime() - began) / 1e9);
        assertTrue(idle < 600, () -> "bytes a second: " + idle);
        assertEquals(0, site.told("gone") - (size - 1));
    }
}
