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

/**
 * Runs the memberships of a whole fleet in virtual time, over a network that loses, delays and duplicates datagrams and
 * has partitions.
 */
class MembershipTest {
    /**
     * Records the events of one membership in order, each as its kind and the name of the member; for duplicate names,
     * the incarnations of both.
     */
    private static final class RecordingListener implements MembershipListener {
        final List<String> events = new ArrayList<>();

        private void add(String kind, Peer member) {
            events.add(kind + " " + member.member().name());
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
            add("dead", member);
        }

        @Override
        public void onLeft(Peer member, double now) {
            add("left", member);
        }

        @Override
        public void onDuplicateName(Peer winner, Peer other, double now) {
            events.add("duplicate " + winner.member().incarnation() + " "
                    + other.member().incarnation());
        }

        @Override
        public void onClockSkewed(Peer member, double offset, double now) {
            add("skewed", member);
        }

        @Override
        public void onClockRecovered(Peer member, double offset, double now) {
            add("recovered", member);
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

        TestMember start(String name, Address address, double clockOffset) {
            var listener = new RecordingListener();
            var created = new Membership[1];
            Host host = network.start(address, clockOffset, (self, transport) -> {
                var identity = new Member(name, (long) (self.clock() * 1000));
                created[0] = new Membership(
                        settings,
                        new Peer(identity, address),
                        seeds,
                        seed * 7919 + address.hashCode(),
                        self.clock(),
                        listener);
                return new MessageDispatcher(identity, List.of(created[0]), transport);
            });
            var member = new TestMember(host, created[0], listener);
            members.put(name, member);
            return member;
        }

        static TestFleet ofSize(int size, long seed) {
            return new TestFleet(seed).startMembers(size);
        }

        TestFleet startMembers(int size) {
            IntStream.range(0, size).forEach(i -> start("router-" + i, address(i), 0));
            if (size > 500 && !Boolean.getBoolean("members.join")) {
                introduceAll(); // a million introductions through the protocol would take 20 s of processor time
            }
            assertTrue(
                    network.runUntil(this::isConverged, 30),
                    () -> "incomplete membership: "
                            + allMembers().get(size - 1).membership.livePeers().size());
            return this;
        }

        private void introduceAll() {
            var page = new MembershipMessage.SyncPage(allMembers().stream()
                    .map(member ->
                            new MembershipMessage.SyncPage.AgedClaim(MemberClaim.alive(member.membership.self(), 0), 0))
                    .toList());
            allMembers()
                    .forEach(member -> member.membership.onMessage(
                            new Peer(new Member("introducer", 0), address(0)), page, network.now, (to, message) -> {}));
        }

        List<TestMember> allMembers() {
            return List.copyOf(members.values());
        }

        TestMember get(int i) {
            return members.get("router-" + i);
        }

        boolean isConverged() {
            return allMatch(member -> member.membership.livePeers().size() == members.size() - 1);
        }

        boolean allMatch(Predicate<TestMember> condition) {
            return members.values().stream().allMatch(condition);
        }

        long countEvents(String prefix) {
            return members.values().stream()
                    .flatMap(member -> member.listener.events.stream())
                    .filter(event -> event.startsWith(prefix))
                    .count();
        }

        TestMember kill(int i) {
            TestMember killed = members.remove("router-" + i);
            killed.host.kill();
            return killed;
        }

        double averageSentBytes() {
            return members.values().stream()
                    .mapToLong(member -> member.host.dispatcher.counters().sentBytes)
                    .average()
                    .orElseThrow();
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 0, 3", "2, 0, 3", "3, 0.2, 5", "4, 0.2, 5"})
    void killedMemberIsDetectedEverywhereAndNoOtherIsDeclaredDead(long seed, double loss, double within) {
        TestFleet fleet = TestFleet.ofSize(100, seed);
        fleet.network.lossProbability = loss;
        fleet.network.duplicationProbability = loss;
        fleet.network.maxDelay = loss == 0 ? 0.002 : 0.05;
        fleet.network.run(120);
        assertEquals(0, fleet.countEvents("dead"));
        assertEquals(loss > 0, fleet.countEvents("suspected") > 0);
        TestMember killed = null;
        for (int i = 10; i < 20; i++) {
            TestMember victim = fleet.kill(i);
            assertTrue(fleet.network.runUntil(
                    () -> fleet.allMatch(member -> !member.membership.isLive(victim.member())), within));
            killed = victim;
        }
        assertEquals(90 * 10, fleet.countEvents("dead"));
        assertTrue(fleet.get(3).membership.possiblyServing(fleet.network.now).contains(killed.member()));
        fleet.network.run(MembershipSettings.DEFAULT.servingGracePeriod());
        assertFalse(fleet.get(3).membership.possiblyServing(fleet.network.now).contains(killed.member()));
        assertEquals(90 * 10, fleet.countEvents("dead"));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void leavingMemberIsRemovedAtOnceAndStaysRemoved(long seed) {
        TestFleet fleet = TestFleet.ofSize(100, seed);
        TestMember leaver = fleet.members.remove("router-5");
        leaver.membership.leave(fleet.network.now, (to, message) -> {});
        assertTrue(
                fleet.network.runUntil(() -> fleet.allMatch(member -> !member.membership.isLive(leaver.member())), 1));
        assertTrue(fleet.allMatch(
                member -> !member.membership.possiblyServing(fleet.network.now).contains(leaver.member())));
        fleet.network.run(10); // the member that left is draining and still answers
        assertEquals(99, fleet.countEvents("left"));
        assertEquals(0, fleet.countEvents("dead") + fleet.countEvents("alive"));
        leaver.host.kill();
        TestMember restarted = fleet.start("router-5", leaver.host.address, 0);
        assertTrue(fleet.network.runUntil(fleet::isConverged, 5));
        assertTrue(fleet.allMatch(member -> member.equals(restarted) || member.membership.isLive(restarted.member())));
    }

    @ParameterizedTest
    @CsvSource({"2, 1", "5, 2", "100, 3"})
    void brokenLinkBetweenTwoMembersCausesNoSuspicion(int size, long seed) {
        TestFleet fleet = TestFleet.ofSize(Math.max(3, size), seed);
        fleet.network.partitioned = (from, to) -> (from == fleet.get(0).host && to == fleet.get(1).host)
                || (size > 2 && from == fleet.get(1).host && to == fleet.get(0).host);
        fleet.network.run(60);
        assertEquals(0, fleet.countEvents("suspected"));
    }

    /**
     * @param retention the retention of dead members in seconds. If it is short, each side removes the records of the
     *     other and reconnects through the seeds only. If it is long, the sides retain each other's records, and the
     *     seeds are killed.
     */
    @ParameterizedTest
    @CsvSource({"60, 30, 1", "60, 3600, 2", "5, 3600, 3", "2, 30, 4"})
    void partitionSidesMergeAfterHealing(int size, double retention, long seed) {
        var fleet = new TestFleet(seed);
        MembershipSettings defaults = MembershipSettings.DEFAULT;
        fleet.settings = new MembershipSettings(
                defaults.probeInterval(),
                defaults.probeRetryDelay(),
                defaults.indirectPings(),
                defaults.gossipInterval(),
                defaults.gossipFanout(),
                defaults.suspicionMultiplier(),
                defaults.maxSuspicionFactor(),
                defaults.reconnectInterval(),
                defaults.maxReconnectInterval(),
                retention,
                defaults.servingGracePeriod(),
                defaults.maxClockSkew(),
                defaults.stallThreshold(),
                defaults.maxNames());
        fleet.startMembers(size);
        if (retention > 60) {
            fleet.kill(0);
            fleet.kill(1);
        }
        var firstSide = fleet.allMembers().stream()
                .filter(member -> member.host.address.hashCode() % 2 == 0)
                .map(TestMember::host)
                .collect(Collectors.toSet());
        fleet.network.partitioned = (from, to) -> firstSide.contains(from) != firstSide.contains(to);
        fleet.network.run(80);
        assertTrue(fleet.allMatch(member -> member.membership.livePeers().size()
                == (firstSide.contains(member.host) ? firstSide.size() : fleet.members.size() - firstSide.size()) - 1));
        fleet.allMembers().forEach(member -> member.listener.events.clear());
        fleet.network.partitioned = (from, to) -> false;
        double healedAt = fleet.network.now;
        assertTrue(fleet.network.runUntil(fleet::isConverged, 12));
        System.out.printf(
                "%d members, %s: converged %.2f s after the partition healed%n",
                size, retention > 60 ? "remembered" : "forgotten", fleet.network.now - healedAt);
        fleet.network.run(10);
        assertEquals(0, fleet.countEvents("dead"), "no member is declared dead on the way");
    }

    @ParameterizedTest
    @CsvSource({"1, 0.7, 0", "1, 1.7, 0", "2, 1.7, 0", "3, 1.7, 0", "4, 1.7, 0", "5, 8, 99", "6, 60, 99"})
    void stalledMemberAccusesNobodyAfterRecovery(long seed, double seconds, int deaths) {
        TestFleet fleet = TestFleet.ofSize(100, seed);
        TestMember stalled = fleet.get(9);
        stalled.host.stall(seconds);
        fleet.network.run(seconds - 0.01);
        // After a long stall, the links of the stalled member recover late.
        fleet.network.partitioned = (from, to) -> deaths > 0 && (from == stalled.host || to == stalled.host);
        stalled.listener.events.clear();
        fleet.network.run(0.02);
        assertTrue(stalled.membership.recentlyStalled(fleet.network.now));
        fleet.network.run(deaths > 0 ? 2 : 0);
        fleet.network.partitioned = (from, to) -> false;
        assertTrue(fleet.network.runUntil(
                () -> fleet.allMatch(member -> member.equals(stalled) || member.membership.isLive(stalled.member())),
                3));
        fleet.network.run(10);
        assertFalse(stalled.membership.recentlyStalled(fleet.network.now));
        assertEquals(List.of(), stalled.listener.events, "the stalled member suspects nobody");
        assertEquals(
                deaths,
                fleet.countEvents("dead"),
                "only the stalled member is declared dead, and only after a long stall");
        assertTrue(fleet.isConverged());
    }

    @Test
    void duplicateNameIsReportedOnceAndTheYoungerIncarnationWins() {
        TestFleet fleet = TestFleet.ofSize(20, 5);
        TestMember older = fleet.get(7);
        TestMember younger = fleet.start("router-7", new Address("10.9.9.9", 7100), 0);
        assertTrue(fleet.network.runUntil(() -> older.membership.isSuperseded() && fleet.isConverged(), 5));
        fleet.network.run(20);
        String duplicate = "duplicate " + younger.member().incarnation() + " "
                + older.member().incarnation();
        assertEquals(
                List.of(duplicate),
                older.listener.events.stream()
                        .filter(event -> event.startsWith("duplicate"))
                        .toList());
        assertTrue(fleet.allMatch(
                member -> member.membership.livePeers().contains(younger.membership.self()) != member.equals(younger)));
        assertTrue(fleet.countEvents(duplicate) > 10, "members that receive messages of both incarnations report them");
        assertTrue(fleet.allMatch(member ->
                member.listener.events.stream().filter(duplicate::equals).count() <= 1));
        assertFalse(younger.membership.isSuperseded());
    }

    @ParameterizedTest
    @ValueSource(doubles = {-3600, -0.7, 0.2, 0.7, 3600})
    void clockSkewIsMeasuredAndReportedOnce(double offset) {
        var fleet = new TestFleet(6);
        TestMember skewed = fleet.start("off-clock", TestFleet.address(30), offset);
        fleet.network.minDelay = 0.02;
        fleet.network.maxDelay = 0.1;
        fleet.startMembers(10);
        fleet.network.run(30);
        boolean outOfBound = Math.abs(offset) > 0.5;
        Predicate<TestMember> isSkewed = member -> member.equals(skewed);
        assertTrue(fleet.allMatch(
                isSkewed.or(member -> Math.abs(member.membership.clockOffset(skewed.member()) - offset) < 0.05)));
        assertTrue(fleet.allMatch(
                isSkewed.or(member -> member.membership.clockWithinBound(skewed.member()) != outOfBound)));
        assertEquals(
                outOfBound ? 20 : 0, fleet.countEvents("skewed"), "ten members report it, and it reports each of them");
        assertEquals(0, fleet.countEvents("dead"));
        for (int i = 0; i < 1000 && Math.abs(offset) == 0.7; i++) { // a process slews its clock back
            skewed.host.clockOffset -= 0.0005 * Math.signum(offset);
            fleet.network.run(0.1);
        }
        assertEquals(Math.abs(offset) == 0.7 ? 10 : 0, fleet.countEvents("recovered off-clock"));
    }

    @Test
    void rejectsNamesBeyondTheLimit() {
        TestFleet fleet = TestFleet.ofSize(2, 8);
        Membership membership = fleet.get(0).membership;
        for (int i = 0; i < 17_000; i++) {
            MemberClaim claim = MemberClaim.alive(new Peer(new Member("name-" + i, 1), TestFleet.address(i)), 0);
            membership.onMessage(
                    fleet.get(1).membership.self(),
                    new MembershipMessage.ClaimBroadcast(List.of(claim)),
                    fleet.network.now,
                    (to, message) -> {});
        }
        assertEquals(
                MembershipSettings.DEFAULT.maxNames(), membership.livePeers().size());
        assertEquals(17_001 - MembershipSettings.DEFAULT.maxNames(), membership.rejectedNames());
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1000})
    void trafficDoesNotGrowWithFleetSize(int size) {
        long startedAtNanos = System.nanoTime();
        TestFleet fleet = TestFleet.ofSize(size, 9);
        double convergedAfter = fleet.network.now - VirtualNetwork.START_TIME;
        double joinBytes = fleet.averageSentBytes();
        fleet.network.run(10);
        double bytesBefore = fleet.averageSentBytes();
        fleet.network.run(20);
        double idleBytesPerSecond = (fleet.averageSentBytes() - bytesBefore) / 20;
        TestMember killed = fleet.kill(5);
        double killedAt = fleet.network.now;
        bytesBefore = fleet.averageSentBytes();
        assertTrue(
                fleet.network.runUntil(() -> fleet.allMatch(member -> !member.membership.isLive(killed.member())), 6));
        System.out.printf(
                "%d members: converged after %.2f s and %.0f bytes a router; idle %.0f bytes/s; "
                        + "death detected after %.2f s, %.0f bytes/s; %.1f s of processor time%n",
                size,
                convergedAfter,
                joinBytes,
                idleBytesPerSecond,
                fleet.network.now - killedAt,
                (fleet.averageSentBytes() - bytesBefore) / (fleet.network.now - killedAt),
                (System.nanoTime() - startedAtNanos) / 1e9);
        assertTrue(idleBytesPerSecond < 600, () -> "bytes a second: " + idleBytesPerSecond);
        assertEquals(0, fleet.countEvents("dead") - (size - 1));
    }
}
