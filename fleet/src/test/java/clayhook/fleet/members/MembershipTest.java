package clayhook.fleet.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.MessageDispatcher;
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
class MembershipTest {
    /** What one router's roster told, as {@code what name}, in order. */
    private static final class RecordingListener implements Membership.MembershipListener {
        final List<String> events = new ArrayList<>();

        private void add(String what, Peer member) {
            events.add(what + " " + member.member().name());
        }

        @Override
        public void onJoined(Peer member, double now) {
            add("joined", member);
        }

        @Override
        public void onSuspected(Peer member, int accusers, double now) {
            add("suspected", member);
        }

        @Override
        public void onAlive(Peer member, double now) {
            add("alive", member);
        }

        @Override
        public void onDead(Peer member, double now) {
            add("gone", member);
        }

        @Override
        public void onLeft(Peer member, double now) {
            add("left", member);
        }

        @Override
        public void onDuplicateName(Peer counts, Peer other, double now) {
            events.add("twins " + counts.member().incarnation() + " "
                    + other.member().incarnation());
        }

        @Override
        public void onClockSkewed(Peer member, double ahead, double now) {
            add("off", member);
        }

        @Override
        public void onClockRecovered(Peer member, double ahead, double now) {
            add("fine", member);
        }
    }

    private record TestMember(Host host, Membership membership, RecordingListener listener) {
        Member member() {
            return membership.self().member();
        }
    }

    private static final class TestFleet {
        final VirtualNetwork network;
        final long seed;
        final Map<String, TestMember> members = new LinkedHashMap<>();
        MembershipSettings settings = MembershipSettings.DEFAULT;
        List<Address> seeds = List.of(new Address("nowhere", 1), address(0), address(1));

        TestFleet(long seed) {
            this.seed = seed;
            network = new VirtualNetwork(seed);
        }

        static Address address(int i) {
            return new Address("10.0." + i / 250 + "." + i % 250, 7100);
        }

        TestMember start(String name, Address address, double clockAhead) {
            var log = new RecordingListener();
            var made = new Membership[1];
            Host host = network.start(address, clockAhead, (self, wire) -> {
                var member = new Member(name, (long) (self.clock() * 1000));
                made[0] = new Membership(
                        settings,
                        new Peer(member, address),
                        seeds,
                        seed * 7919 + address.hashCode(),
                        self.clock(),
                        log);
                return new MessageDispatcher(member, List.of(made[0]), wire);
            });
            var router = new TestMember(host, made[0], log);
            members.put(name, router);
            return router;
        }

        static TestFleet ofSize(int size, long seed) {
            return new TestFleet(seed).startMembers(size);
        }

        TestFleet startMembers(int size) {
            IntStream.range(0, size).forEach(i -> start("router-" + i, address(i), 0));
            if (size > 500 && !Boolean.getBoolean("members.join")) {
                introduceAll(); // a million first meetings cost 20 s of work
            }
            assertTrue(
                    network.runUntil(this::isConverged, 30),
                    () -> "no whole roster: "
                            + all().get(size - 1).membership.livePeers().size());
            return this;
        }

        private void introduceAll() {
            var page = new MembershipMessage.SyncPage(all().stream()
                    .map(router ->
                            new MembershipMessage.SyncPage.AgedClaim(MemberClaim.alive(router.membership.self(), 0), 0))
                    .toList());
            all().forEach(router -> router.membership.onMessage(
                    new Peer(new Member("teller", 0), address(0)), page, network.now, (to, part) -> {}));
        }

        List<TestMember> all() {
            return List.copyOf(members.values());
        }

        TestMember get(int i) {
            return members.get("router-" + i);
        }

        boolean isConverged() {
            return all(router -> router.membership.livePeers().size() == members.size() - 1);
        }

        boolean all(Predicate<TestMember> holds) {
            return members.values().stream().allMatch(holds);
        }

        long countEvents(String start) {
            return members.values().stream()
                    .flatMap(router -> router.listener.events.stream())
                    .filter(line -> line.startsWith(start))
                    .count();
        }

        TestMember kill(int i) {
            TestMember killed = members.remove("router-" + i);
            killed.host.kill();
            return killed;
        }

        double averageSentBytes() {
            return members.values().stream()
                    .mapToLong(router -> router.host.dispatcher.counters().sentBytes)
                    .average()
                    .orElseThrow();
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 0, 3", "2, 0, 3", "3, 0.2, 5", "4, 0.2, 5"})
    void killedMemberIsDetectedEverywhereAndNoOtherIsDeclaredDead(long seed, double lost, double within) {
        TestFleet site = TestFleet.ofSize(100, seed);
        site.network.lossProbability = lost;
        site.network.duplicationProbability = lost;
        site.network.maxDelay = lost == 0 ? 0.002 : 0.05;
        site.network.run(120);
        assertEquals(0, site.countEvents("gone"));
        assertEquals(lost > 0, site.countEvents("suspected") > 0);
        TestMember killed = null;
        for (int i = 10; i < 20; i++) {
            TestMember last = site.kill(i);
            assertTrue(
                    site.network.runUntil(() -> site.all(router -> !router.membership.isLive(last.member())), within));
            killed = last;
        }
        assertEquals(90 * 10, site.countEvents("gone"));
        assertTrue(site.get(3).membership.possiblyServing(site.network.now).contains(killed.member()));
        site.network.run(MembershipSettings.DEFAULT.servingGracePeriod());
        assertFalse(site.get(3).membership.possiblyServing(site.network.now).contains(killed.member()));
        assertEquals(90 * 10, site.countEvents("gone"));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void leavingMemberIsRemovedAtOnceAndStaysRemoved(long seed) {
        TestFleet site = TestFleet.ofSize(100, seed);
        TestMember leaver = site.members.remove("router-5");
        leaver.membership.leave(site.network.now, (to, part) -> {});
        assertTrue(site.network.runUntil(() -> site.all(router -> !router.membership.isLive(leaver.member())), 1));
        assertTrue(site.all(
                router -> !router.membership.possiblyServing(site.network.now).contains(leaver.member())));
        site.network.run(10); // it drains, and still answers
        assertEquals(99, site.countEvents("left"));
        assertEquals(0, site.countEvents("gone") + site.countEvents("alive"));
        leaver.host.kill();
        TestMember again = site.start("router-5", leaver.host.address, 0);
        assertTrue(site.network.runUntil(site::isConverged, 5));
        assertTrue(site.all(router -> router == again || router.membership.isLive(again.member())));
    }

    @ParameterizedTest
    @CsvSource({"2, 1", "5, 2", "100, 3"})
    void brokenLinkBetweenTwoMembersCausesNoSuspicion(int size, long seed) {
        TestFleet site = TestFleet.ofSize(Math.max(3, size), seed);
        site.network.partitioned = (from, to) -> from == site.get(0).host && to == site.get(1).host
                || size > 2 && from == site.get(1).host && to == site.get(0).host;
        site.network.run(60);
        assertEquals(0, site.countEvents("suspected"));
    }

    /**
     * @param remember so short that each side has forgotten the other, which the seeds must mend; else no seed is left
     *     to
     */
    @ParameterizedTest
    @CsvSource({"60, 30, 1", "60, 3600, 2", "5, 3600, 3", "2, 30, 4"})
    void partitionSidesMergeAfterHealing(int size, double remember, long seed) {
        var site = new TestFleet(seed);
        MembershipSettings d = MembershipSettings.DEFAULT;
        site.settings = new MembershipSettings(
                d.probeInterval(),
                d.probeRetryDelay(),
                d.indirectPings(),
                d.gossipInterval(),
                d.gossipFanout(),
                d.suspicionMultiplier(),
                d.maxSuspicionFactor(),
                d.reconnectInterval(),
                d.maxReconnectInterval(),
                remember,
                d.servingGracePeriod(),
                d.maxClockSkew(),
                d.stallThreshold(),
                d.maxNames());
        site.startMembers(size);
        if (remember > 60) {
            site.kill(0);
            site.kill(1);
        }
        var half = site.all().stream()
                .filter(router -> router.host.address.hashCode() % 2 == 0)
                .map(TestMember::host)
                .collect(Collectors.toSet());
        site.network.partitioned = (from, to) -> half.contains(from) != half.contains(to);
        site.network.run(80);
        assertTrue(site.all(router -> router.membership.livePeers().size()
                == (half.contains(router.host) ? half.size() : site.members.size() - half.size()) - 1));
        site.all().forEach(router -> router.listener.events.clear());
        site.network.partitioned = (from, to) -> false;
        double healed = site.network.now;
        assertTrue(site.network.runUntil(site::isConverged, 12));
        System.out.printf(
                "%d members, %s: whole %.2f s after the heal%n",
                size, remember > 60 ? "remembered" : "forgotten", site.network.now - healed);
        site.network.run(10);
        assertEquals(0, site.countEvents("gone"), "nobody is lost again on the way");
    }

    @ParameterizedTest
    @CsvSource({"1, 0.7, 0", "1, 1.7, 0", "2, 1.7, 0", "3, 1.7, 0", "4, 1.7, 0", "5, 8, 99", "6, 60, 99"})
    void stalledMemberAccusesNobodyAfterRecovery(long seed, double seconds, int gone) {
        TestFleet site = TestFleet.ofSize(100, seed);
        TestMember stood = site.get(9);
        stood.host.stall(seconds);
        site.network.run(seconds - 0.01);
        site.network.partitioned =
                (from, to) -> gone > 0 && (from == stood.host || to == stood.host); // its links are slow to come back
        stood.listener.events.clear();
        site.network.run(0.02);
        assertTrue(stood.membership.recentlyStalled(site.network.now));
        site.network.run(gone > 0 ? 2 : 0);
        site.network.partitioned = (from, to) -> false;
        assertTrue(site.network.runUntil(
                () -> site.all(router -> router == stood || router.membership.isLive(stood.member())), 3));
        site.network.run(10);
        assertFalse(stood.membership.recentlyStalled(site.network.now));
        assertEquals(List.of(), stood.listener.events, "it accuses nobody");
        assertEquals(gone, site.countEvents("gone"), "nobody but it was gone, and only when it stood for long");
        assertTrue(site.isConverged());
    }

    @Test
    void duplicateNameIsReportedOnceAndTheYoungerIncarnationWins() {
        TestFleet site = TestFleet.ofSize(20, 5);
        TestMember older = site.get(7);
        TestMember younger = site.start("router-7", new Address("10.9.9.9", 7100), 0);
        assertTrue(site.network.runUntil(() -> older.membership.isSuperseded() && site.isConverged(), 5));
        site.network.run(20);
        String line =
                "twins " + younger.member().incarnation() + " " + older.member().incarnation();
        assertEquals(
                List.of(line),
                older.listener.events.stream()
                        .filter(told -> told.startsWith("twins"))
                        .toList());
        assertTrue(site.all(
                router -> router.membership.livePeers().contains(younger.membership.self()) != (router == younger)));
        assertTrue(site.countEvents(line) > 10, "the others are told once each that hears both");
        assertTrue(site.all(
                router -> router.listener.events.stream().filter(line::equals).count() <= 1));
        assertFalse(younger.membership.isSuperseded());
    }

    @ParameterizedTest
    @ValueSource(doubles = {-3600, -0.7, 0.2, 0.7, 3600})
    void clockSkewIsMeasuredAndReportedOnce(double ahead) {
        var site = new TestFleet(6);
        TestMember off = site.start("off", TestFleet.address(30), ahead);
        site.network.minDelay = 0.02;
        site.network.maxDelay = 0.1;
        site.startMembers(10);
        site.network.run(30);
        boolean far = Math.abs(ahead) > 0.5;
        Predicate<TestMember> isOff = router -> router == off;
        assertTrue(site.all(isOff.or(router -> Math.abs(router.membership.clockOffset(off.member()) - ahead) < 0.05)));
        assertTrue(site.all(isOff.or(router -> router.membership.clockWithinBound(off.member()) != far)));
        assertEquals(far ? 20 : 0, site.countEvents("off"), "each of ten of it, and it of each");
        assertEquals(0, site.countEvents("gone"));
        for (int i = 0; i < 1000 && Math.abs(ahead) == 0.7; i++) { // led back, as the process's clock is
            off.host.clockOffset -= 0.0005 * Math.signum(ahead);
            site.network.run(0.1);
        }
        assertEquals(Math.abs(ahead) == 0.7 ? 10 : 0, site.countEvents("fine off"));
    }

    @Test
    void rejectsNamesBeyondTheLimit() {
        TestFleet site = TestFleet.ofSize(2, 8);
        Membership one = site.get(0).membership;
        for (int i = 0; i < 17_000; i++) {
            MemberClaim claim = MemberClaim.alive(new Peer(new Member("name-" + i, 1), TestFleet.address(i)), 0);
            one.onMessage(
                    site.get(1).membership.self(),
                    new MembershipMessage.ClaimBroadcast(List.of(claim)),
                    site.network.now,
                    (to, part) -> {});
        }
        assertEquals(MembershipSettings.DEFAULT.maxNames(), one.livePeers().size());
        assertEquals(17_001 - MembershipSettings.DEFAULT.maxNames(), one.rejectedNames());
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1000})
    void trafficDoesNotGrowWithFleetSize(int size) {
        long began = System.nanoTime();
        TestFleet site = TestFleet.ofSize(size, 9);
        double joined = site.network.now - VirtualNetwork.START_TIME;
        double joining = site.averageSentBytes();
        site.network.run(10);
        double before = site.averageSentBytes();
        site.network.run(20);
        double idle = (site.averageSentBytes() - before) / 20;
        TestMember killed = site.kill(5);
        double at = site.network.now;
        before = site.averageSentBytes();
        assertTrue(site.network.runUntil(() -> site.all(router -> !router.membership.isLive(killed.member())), 6));
        System.out.printf(
                "%d members: whole after %.2f s and %.0f bytes a router; idle %.0f bytes/s; killed known after %.2f s, "
                        + "%.0f bytes/s; %.1f s of work%n",
                size,
                joined,
                joining,
                idle,
                site.network.now - at,
                (site.averageSentBytes() - before) / (site.network.now - at),
                (System.nanoTime() - began) / 1e9);
        assertTrue(idle < 600, () -> "bytes a second: " + idle);
        assertEquals(0, site.countEvents("gone") - (size - 1));
    }
}
