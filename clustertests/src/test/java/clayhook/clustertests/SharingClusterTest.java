package clayhook.clustertests;

import static clayhook.clustertests.ClusterTest.JAR;
import static clayhook.clustertests.ClusterTest.ROUTERS;
import static clayhook.clustertests.ClusterTest.SOME;
import static clayhook.clustertests.ClusterTest.verdict;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Endpoint;
import clayhook.clustertests.ClusterNode.Mood;
import clayhook.clustertests.LoadClient.Answer;
import clayhook.lab.model.RuleAudit.RuleKept;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Five processes that share what they know, all datagrams between them through the relay. */
@Tag("processes")
class SharingClusterTest {
    private static final String SHARING = "report = 0.2\n";
    private static final Pattern GONE = Pattern.compile("sharing: .* is gone");
    private static final Pattern FATES = Pattern.compile("fates \\{[^}]*}");

    /** Losing, doubling, garbling links, splits, stops and kills: no command is lost for any of it. */
    @ParameterizedTest
    @ValueSource(longs = 2)
    void withSharingCopiesAreEqualAfterEveryHealAndTheRulesAreKept(long seed) throws Exception {
        try (var trial = new TestCluster(JAR, ROUTERS, SHARING, false, seed)) {
            for (ClusterFault fault : FaultSchedule.of(seed, ROUTERS)) {
                List<Integer> marks =
                        trial.routers().stream().map(RouterProcess::mark).toList();
                trial.load();
                trial.inflict(fault);
                assertTrue(trial.felt(fault), () -> fault + "\n" + trial.said());
                assertTrue(trial.serve(trial.up(), SOME), () -> fault + "\n" + trial.said());
                if (fault instanceof ClusterFault.OneWay) {
                    for (int i = 0; i < ROUTERS; i++) {
                        assertNull(trial.routers().get(i).last(marks.get(i), GONE)); // others vouch for it
                    }
                }
                trial.heal(fault);
                assertTrue(trial.serve(trial.up(), SOME), () -> fault + "\n" + trial.said());
                trial.calm();
                assertTrue(trial.agree(), () -> fault + "\n" + trial.said());
            }
            assertTrue(trial.relay().count(NetworkLink.Delivery.GARBLED) > 0
                    && trial.relay().strangers() == 0);
            verdict(trial);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void oneRouterIsToldOfADrainAndWithSharingAllObeyIt(boolean shares) throws Exception {
        try (var trial = new TestCluster(JAR, ROUTERS, shares ? SHARING : null, true, 3)) {
            assertTrue(!shares || trial.agree(), trial::said);
            ClusterNode replica = trial.cluster().nodes().get(1);
            trial.directory().answers(0);
            replica.state(Endpoint.State.DRAINING);
            trial.load();
            assertTrue(trial.serve(trial.up(), SOME), trial::said);
            int before = trial.witness().runs(replica.node());
            assertTrue(before > 0);
            trial.directory().answers(1);
            assertTrue(trial.serve(trial.up(), 5 * SOME), trial::said);
            before = trial.witness().runs(replica.node());
            assertTrue(trial.serve(trial.up(), 2 * SOME), trial::said);
            assertEquals(shares, before == trial.witness().runs(replica.node()));
            verdict(trial);
        }
    }

    /** Replicas stand still meanwhile, so that a read that does not know of the write misses it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aSessionThatRoamsReadsItsOwnWriteWithSharingInAndAfterASplit(boolean shares) throws Exception {
        try (var trial = new TestCluster(JAR, ROUTERS, shares ? SHARING : null, false, 4)) {
            assertTrue(!shares || trial.agree(), trial::said);
            var split = new ClusterFault.Split(Set.of(0, 1));
            trial.load();
            assertTrue(trial.serve(trial.up(), SOME), trial::said);
            trial.calm();
            for (String when : List.of("before", "in", "after")) {
                for (int turn = 0; turn < 3; turn++) {
                    var session = trial.caller();
                    trial.cluster().nodes().subList(1, 3).forEach(node -> node.stall(true));
                    assertEquals(Answer.WELL, session.ask(trial.routers().get(0), TestCluster.WRITE));
                    Thread.sleep(TestCluster.ROAM_MS); // the session's own way to another router
                    for (RouterProcess router : trial.routers()) {
                        assertNotEquals(Answer.NONE, session.ask(router, TestCluster.SESSION), when);
                    }
                    trial.cluster().nodes().forEach(node -> node.stall(false));
                }
                if (when.equals("before")) {
                    trial.inflict(split);
                    assertTrue(!shares || trial.felt(split), trial::said);
                } else if (when.equals("in")) {
                    trial.heal(split);
                    assertTrue(!shares || trial.agree(), trial::said);
                }
            }
            assertEquals(
                    shares ? Set.of() : Set.of(RuleKept.NO_STALE_READ),
                    trial.witness().broken().keySet(),
                    trial::said);
        }
    }

    @Test
    void aChargeInDoubtAtOneRouterAndSettledAtAnotherIsOneRowEverywhere() throws Exception {
        try (var trial = new TestCluster(JAR, ROUTERS, SHARING, true, 5)) {
            assertTrue(trial.agree(), trial::said);
            ClusterNode primary = trial.cluster().primary();
            var session = trial.caller();
            primary.mood(Mood.SPEECHLESS);
            assertEquals(Answer.FAILED, session.ask(trial.routers().get(0), TestCluster.WRITE, "charge"));
            assertTrue(trial.await(() -> fates(trial, "UNKNOWN=1, RAN=0")), trial::said);
            primary.mood(Mood.WELL);
            assertEquals(Answer.WELL, session.ask(trial.routers().get(3), TestCluster.WRITE, "charge"));
            assertTrue(trial.await(() -> fates(trial, "UNKNOWN=0, RAN=1")), trial::said);
            verdict(trial);
        }
    }

    private static boolean fates(TestCluster trial, String counts) {
        return trial.routers().stream()
                .allMatch(router -> String.valueOf(router.last(0, FATES)).startsWith("fates {" + counts));
    }
}
