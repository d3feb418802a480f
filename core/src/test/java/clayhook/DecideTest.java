package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Choice.Verdict;
import clayhook.CommandGroup.Effect;
import clayhook.Listing.State;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class DecideTest {
    private final Fleet fleet = new Fleet();

    @Test
    void boundedReadsTakeTurnsOverReplicasAndSpareThePrimary() {
        Set<Node> met = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            met.add(fleet.send(fleet.bounded).node);
        }
        assertEquals(Set.of(fleet.replica, fleet.other), met);
    }

    @ParameterizedTest
    @CsvSource({"0.2, true", "0.24, false", "0.9, false"})
    void aReplicaServesBoundedReadsOnlyWithinTheLagGate(double lag, boolean serves) {
        fleet.now += 1;
        fleet.tell(fleet.primary, Role.PRIMARY, fleet.now);
        fleet.tell(fleet.other, Role.REPLICA, fleet.now - 1);
        fleet.tell(fleet.replica, Role.REPLICA, fleet.now - lag);
        assertEquals(serves ? fleet.replica : fleet.primary, fleet.send(fleet.bounded).node);
    }

    @ParameterizedTest
    @CsvSource({"0.25, true", "0.35, false"})
    void aPositionCoversABoundedReadNoLongerThanItsBound(double later, boolean serves) {
        fleet.now += later;
        fleet.tell(fleet.primary, Role.PRIMARY, fleet.now);
        assertEquals(!serves, fleet.send(fleet.bounded).node.equals(fleet.primary));
    }

    @Test
    void aReadIsHeldForALookAtAReplicaUnheardForASecond() {
        fleet.now += 1.1;
        fleet.tell(fleet.primary, Role.PRIMARY, fleet.now);
        Command read = fleet.command(fleet.any, 0);
        assertEquals(Verdict.NOT_YET, fleet.decide.where(read, fleet.now).verdict());
        Node looked = fleet.decide.pause(fleet.now).probes().get(0);
        fleet.tell(looked, Role.REPLICA, fleet.now);
        assertEquals(looked, fleet.decide.where(read, fleet.now).dispatch().node);
    }

    @Test
    void aStaleReplicaServesWhatItCoversOnceProbesAreScarce() {
        for (int i = 0; i < 30; i++) {
            fleet.now += 0.2;
            fleet.decide.where(fleet.command(fleet.bounded, 0), fleet.now);
            fleet.decide.pause(fleet.now);
        }
        Choice choice = fleet.decide.where(fleet.command(fleet.session, 0), fleet.now);
        assertEquals(Verdict.SEND, choice.verdict());
        assertNotEquals(fleet.primary, choice.dispatch().node);
    }

    @Test
    void probesGoByCommandsAndNotByNodes() {
        fleet.now += 2;
        fleet.fill(fleet.any);
        int probes = 0;
        for (int i = 0; i < 100; i++) {
            fleet.now += 1;
            probes += fleet.decide.pause(fleet.now).probes().size();
        }
        assertTrue(probes <= 15, "probes " + probes);
    }

    @Test
    void aWriteIsHeldForALookAtAPrimaryUnheardForASecond() {
        fleet.now += 1;
        fleet.tell(fleet.other, Role.PRIMARY, fleet.now);
        fleet.now += 1.1;
        Command write = fleet.command(fleet.write, 0);
        assertEquals(Verdict.NOT_YET, fleet.decide.where(write, fleet.now).verdict());
        assertEquals(List.of(fleet.other), fleet.decide.pause(fleet.now).probes());
    }

    @ParameterizedTest
    @CsvSource({"-0.1, true", "0.1, false"})
    void aCarriedMarkMustBeCovered(double wroteAfterPosition, boolean serves) {
        Command read = fleet.command(fleet.session, fleet.now + wroteAfterPosition);
        assertEquals(!serves, fleet.ask(read).dispatch().node.equals(fleet.primary));
    }

    @ParameterizedTest
    @CsvSource({"1, true", "60, true"})
    void aRememberedWriteBindsLaterReadsEvenOnceForgotten(double later, boolean onPrimary) {
        Fleet remembering = new Fleet(false, false);
        Dispatch write = remembering.send(remembering.write);
        double position = remembering.now + later;
        remembering.answer(write, Outcome.ANSWERED, Role.PRIMARY, position);
        remembering.now += later;
        remembering.tellAll(position - 0.01);
        remembering.answer(remembering.send(remembering.write), Outcome.ANSWERED, Role.PRIMARY, position);
        Node node = remembering.send(remembering.session).node;
        assertEquals(onPrimary, node.equals(remembering.primary));
    }

    @ParameterizedTest
    @CsvSource({"1, 2", "0, 1"})
    void readsWithoutABoundGoRoundTheReplicasOutsideTheGateFirst(double lag, int nodes) {
        fleet.now += 9;
        fleet.tell(fleet.primary, Role.PRIMARY, fleet.now);
        fleet.tell(fleet.replica, Role.REPLICA, fleet.now - lag);
        fleet.tell(fleet.other, Role.REPLICA, fleet.now - 9);
        Set<Node> met = fleet.nodesOf(fleet.any, 4);
        assertTrue(met.contains(fleet.other) && met.size() == nodes, met.toString());
    }

    @ParameterizedTest
    @CsvSource({"0.1, true", "0.9, false"})
    void replicasOutsideTheGateAreSparedOnceReadsWithoutABoundAreSlowThere(double slowness, boolean alone) {
        for (int i = 0; i < 30; i++) {
            fleet.now += 0.5;
            fleet.tell(fleet.primary, Role.PRIMARY, fleet.now);
            fleet.tell(fleet.replica, Role.REPLICA, fleet.now);
            fleet.tell(fleet.other, Role.REPLICA, fleet.now - 9);
            Choice choice = fleet.ask(fleet.command(fleet.any, 0));
            if (choice.verdict() == Verdict.SEND) {
                boolean behind = choice.dispatch().node == fleet.other;
                fleet.decide.after(
                        choice.dispatch(),
                        new Reply(
                                Outcome.ANSWERED,
                                0.4 * (behind ? slowness : 0.1),
                                Role.REPLICA,
                                fleet.now - (behind ? 9 : 0),
                                Role.UNKNOWN,
                                0,
                                -1),
                        true,
                        fleet.now);
            }
        }
        Set<Node> met = fleet.nodesOf(fleet.any, 3);
        assertEquals(alone, met.equals(Set.of(fleet.other)), met.toString());
    }

    @Test
    void looksGoToTheOwnZoneFirst() {
        for (int i = 0; i < 6; i++) {
            fleet.now += 2;
            fleet.decide.where(fleet.command(fleet.session, 0), fleet.now);
            assertEquals(List.of(fleet.replica), fleet.decide.pause(fleet.now).probes());
            fleet.tell(fleet.replica, Role.REPLICA, fleet.now);
        }
    }

    @ParameterizedTest
    @CsvSource({"0, false", "9, true"})
    void pressureFadesIntoThatOfAllGroups(double idle, boolean sheds) {
        Node far = new Node("d", "north", 2);
        fleet.list(far, State.READY, 0);
        fleet.tell(far, Role.REPLICA, fleet.now);
        for (int i = 0; i < 3; i++) {
            Choice calm = fleet.decide.where(new Command(fleet.any, 2, null, 0, fleet.now, fleet.now + 4), fleet.now);
            fleet.decide.after(
                    calm.dispatch(),
                    new Reply(Outcome.ANSWERED, 0.04, Role.REPLICA, fleet.now, Role.UNKNOWN, 0, -1),
                    true,
                    fleet.now);
        }
        for (int i = 0; i < 60; i++) {
            Choice crowded = fleet.ask(fleet.command(fleet.any, 0));
            if (crowded.verdict() == Verdict.SEND) {
                fleet.decide.after(
                        crowded.dispatch(),
                        new Reply(Outcome.ANSWERED, 0.36, Role.REPLICA, fleet.now, Role.UNKNOWN, 0, -1),
                        true,
                        fleet.now);
            }
        }
        fleet.now += idle;
        int shed = 0;
        for (int i = 0; i < 20; i++) {
            Command read = new Command(fleet.any, 2, null, 0, fleet.now, fleet.now + 4);
            shed += fleet.decide.where(read, fleet.now).verdict() == Verdict.THROTTLE ? 1 : 0;
        }
        assertEquals(sheds, shed > 10);
    }

    @ParameterizedTest
    @CsvSource({"12, 3, 0, a", "0, 100, 70, ab"})
    void longReadsKeepToOneReplicaWhereTheyAreFew(int others, int reads, int from, String nodes) {
        var met = new TreeSet<String>();
        for (int i = -others; i < reads; i++) {
            Dispatch read = fleet.send(i < 0 ? fleet.any : fleet.report);
            fleet.now += i < 0 ? 0 : 0.9;
            fleet.tellAll(fleet.now);
            fleet.answer(read, Outcome.ANSWERED, Role.REPLICA, fleet.now);
            met.addAll(i < from ? Set.of() : Set.of(read.node.id()));
        }
        assertEquals(nodes, String.join("", met));
    }

    @Test
    void probesAndDispatchesThatWereNeverSentTellNothingOfANode() {
        for (int i = 0; i < 3; i++) {
            for (Node node : List.of(fleet.primary, fleet.replica, fleet.other)) {
                fleet.decide.probed(node, Reply.untold(Outcome.NOT_SENT, 0), fleet.now);
            }
            fleet.answer(fleet.send(fleet.any), Outcome.NOT_SENT, Role.UNKNOWN, 0);
        }
        assertEquals(Set.of(fleet.replica, fleet.other), fleet.nodesOf(fleet.any, 4));
    }

    /** The lag as last told counts, not who was heard last: a router of a hundred hears of each every few seconds. */
    @ParameterizedTest
    @CsvSource({"5, 4, 0, 5", "3, 0.01, 2, 1"})
    void withNoSurvivorACheckingReplicaFurthestAheadIsTriedFirst(double idle, double lag, double apart, double far) {
        Fleet checking = new Fleet(true, true);
        checking.now += idle;
        checking.tell(checking.replica, Role.REPLICA, checking.now - lag);
        checking.now += apart;
        checking.tell(checking.other, Role.REPLICA, checking.now - far);
        checking.tell(checking.primary, Role.PRIMARY, checking.now);
        assertEquals(checking.replica, checking.send(checking.bounded).node);
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1, true"})
    void aRefusalBenchesUntilAPositionShowsThatTheReplicaCaughtUp(double later, boolean back) {
        Fleet checking = new Fleet(true, true);
        checking.now += 2;
        checking.tell(checking.primary, Role.PRIMARY, checking.now);
        checking.tell(checking.replica, Role.REPLICA, checking.now - 1);
        Dispatch refused = checking.send(checking.bounded);
        checking.answer(refused, Outcome.TURNED_AWAY, Role.REPLICA, checking.now - 1);
        checking.now += later;
        checking.tell(checking.primary, Role.PRIMARY, checking.now);
        checking.tell(refused.node, Role.REPLICA, later > 0 ? checking.now : checking.now - 1);
        assertEquals(back, checking.nodesOf(checking.bounded, 3).contains(refused.node));
    }

    @ParameterizedTest
    @EnumSource(
            value = State.class,
            names = {"DRAINING", "GONE"})
    void nothingNewGoesToANodeThatDrainsOrIsGone(State state) {
        fleet.list(fleet.replica, state, 0);
        assertEquals(Set.of(fleet.other), fleet.nodesOf(fleet.bounded, 4));
    }

    @Test
    void aNodeMissingFromAWholeListIsGone() {
        fleet.decide.listed(
                List.of(
                        new Listing(fleet.primary, State.READY, true, 0),
                        new Listing(fleet.other, State.READY, false, 0)),
                true,
                fleet.now);
        assertEquals(Set.of(fleet.other), fleet.nodesOf(fleet.any, 4));
    }

    @Test
    void aColdNodeGetsOnlyItsBudget() {
        fleet.list(fleet.replica, State.READY, fleet.now - 0.1);
        fleet.list(fleet.other, State.DRAINING, 0);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            Choice choice = fleet.decide.where(fleet.command(fleet.any, 0), fleet.now);
            sent += choice.verdict() == Verdict.SEND && choice.dispatch().node.equals(fleet.replica) ? 1 : 0;
        }
        assertTrue(sent <= 1, "sent " + sent);
    }

    /** How much work a replica is sent in three seconds just after its start, by one of so many routers. */
    private static double sentCold(int routers) {
        Fleet many = new Fleet(routers, true, false, false, true);
        many.list(many.other, State.DRAINING, 0);
        for (int i = 0; i < 50; i++) {
            many.now += 0.1;
            many.tellAll(many.now);
            many.answer(many.send(many.any), Outcome.ANSWERED, Role.REPLICA, many.now);
        }
        many.list(many.replica, State.READY, many.now);
        double sent = 0;
        for (int i = 0; i < 100; i++) {
            many.now += 0.03;
            many.tellAll(many.now);
            sent += 0.1 * many.sentTo(many.replica, many.any, 1);
        }
        return sent;
    }

    @Test
    void whatANodeWasSentWhileWarmDoesNotCountOnceItIsCold() {
        assertTrue(sentCold(3) > 0);
    }

    @Test
    void aShareOfLessThanOneCommandIsKeptToo() {
        double all = 0;
        for (int seed = 0; seed < 100; seed++) {
            Fleet idle = new Fleet(100, true, false, false, true);
            idle.list(idle.replica, State.READY, idle.now);
            idle.list(idle.other, State.DRAINING, 0);
            all += idle.sentTo(idle.replica, idle.any, 1);
        }
        assertEquals(0, all);
    }

    @Test
    void hungNodesDoNotSwellTheColdBudget() {
        fleet.list(fleet.other, State.DRAINING, 0);
        for (int i = 0; i < 50; i++) {
            fleet.now += 2;
            fleet.tellAll(fleet.now);
            Choice choice = fleet.ask(fleet.command(fleet.any, 0));
            if (choice.verdict() == Verdict.SEND) {
                fleet.answer(choice.dispatch(), Outcome.FULL, Role.REPLICA, fleet.now);
            }
        }
        fleet.list(fleet.replica, State.READY, fleet.now);
        fleet.now += 2;
        fleet.tellAll(fleet.now);
        assertTrue(fleet.sentTo(fleet.replica, fleet.any, 50) <= 1);
    }

    @ParameterizedTest
    @CsvSource({"0.1, 100, SEND", "0.9, 60, REJECT"})
    void readsAreShedWhileAnswersTakeMostOfTheTarget(double slowness, int answers, Verdict verdict) {
        press(slowness, answers);
        int kept = 0;
        for (int i = 0; i < 20; i++) {
            kept += fleet.decide.where(fleet.command(fleet.any, 0), fleet.now).verdict() == verdict ? 1 : 0;
        }
        assertTrue(kept >= 10, "only " + kept);
    }

    private void press(double slowness, int answers) {
        for (int i = 0; i < answers; i++) {
            fleet.now += 0.05;
            fleet.tellAll(fleet.now);
            Choice choice = fleet.ask(fleet.command(fleet.any, 0));
            if (choice.verdict() == Verdict.SEND) {
                fleet.decide.after(
                        choice.dispatch(),
                        new Reply(Outcome.ANSWERED, 0.4 * slowness, Role.REPLICA, fleet.now, Role.UNKNOWN, 0, -1),
                        true,
                        fleet.now);
            }
        }
    }

    @Test
    void aReplicaThatReportsMuchLoadIsPassedOver() {
        fleet.decide.probed(
                fleet.replica,
                new Reply(Outcome.ANSWERED, 0.001, Role.UNKNOWN, 0, Role.REPLICA, fleet.now, 99),
                fleet.now);
        fleet.decide.probed(
                fleet.other,
                new Reply(Outcome.ANSWERED, 0.001, Role.UNKNOWN, 0, Role.REPLICA, fleet.now, 0),
                fleet.now);
        int crowded = 0;
        for (int i = 0; i < 40; i++) {
            Dispatch read = fleet.send(fleet.any);
            crowded += read.node.equals(fleet.replica) ? 1 : 0;
            fleet.answer(read, Outcome.ANSWERED, Role.REPLICA, fleet.now);
        }
        assertTrue(crowded > 0 && crowded < 18, "sent " + crowded);
    }

    @Test
    void replicasWithAnIdleConnectionGoFirstWhileOpeningOneIsSlow() {
        for (int i = 0; i < 30; i++) {
            fleet.now += 20;
            fleet.tellAll(fleet.now);
            Dispatch write = fleet.send(fleet.write);
            fleet.decide.after(
                    write,
                    new Reply(Outcome.ANSWERED, 0.39, Role.PRIMARY, fleet.now, Role.UNKNOWN, 0, -1),
                    true,
                    fleet.now);
        }
        Choice opening = fleet.ask(fleet.command(fleet.any, 0));
        while (opening.verdict() == Verdict.NOT_YET) {
            opening = fleet.ask(fleet.command(fleet.any, 0));
        }
        fleet.answer(opening.dispatch(), Outcome.ANSWERED, Role.REPLICA, fleet.now);
        for (int i = 0; i < 5; i++) {
            Dispatch read = fleet.send(fleet.any);
            assertEquals(opening.dispatch().node, read.node);
            fleet.answer(read, Outcome.ANSWERED, Role.REPLICA, fleet.now);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT, RESET, 0.1, SEND",
        "IDEMPOTENT_WITH_KEY, RESET, 0.1, SEND",
        "IDEMPOTENT_WITH_KEY, RESET, 1.5, FAIL",
        "NON_IDEMPOTENT, RESET, 0.1, FAIL",
        "NON_IDEMPOTENT, TIMED_OUT, 0.1, FAIL",
        "NON_IDEMPOTENT, OVERLOADED, 0.1, WAIT",
        "NON_IDEMPOTENT, ERROR, 0.1, FAIL"
    })
    void whatMayHaveRunIsRepeatedOnlyAsItsEffectAllows(Effect effect, Outcome outcome, double later, Verdict verdict) {
        Dispatch first = fleet.send(fleet.writes(effect));
        fleet.now += later;
        fleet.tellAll(fleet.now);
        Choice next = fleet.answer(first, outcome, Role.PRIMARY, fleet.now);
        if (verdict == Verdict.SEND) {
            fleet.tellAll(fleet.now + 0.01);
            fleet.answer(fleet.send(fleet.session), Outcome.ANSWERED, Role.REPLICA, fleet.now);
            assertFalse(next.verdict() == Verdict.THROTTLE || next.verdict() == Verdict.FAIL);
        } else {
            assertEquals(verdict, next.verdict());
        }
    }

    @Test
    void aMutatingCommandThatIsOutIsNeverSentAgain() {
        Dispatch write = fleet.send(fleet.writes(Effect.MUTATING));
        fleet.now += 3;
        fleet.tellAll(fleet.now);
        assertEquals(
                Verdict.NOT_YET, fleet.decide.where(write.command, fleet.now).verdict());
    }

    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, REJECT", "NON_IDEMPOTENT, FAIL", "IDEMPOTENT_WITH_KEY, FAIL"})
    void theFinalAnswerComesInTimeThoughNoOutcomeDoes(Effect effect, Verdict verdict) {
        Dispatch write = fleet.send(fleet.writes(effect));
        assertEquals(
                verdict,
                fleet.decide.where(write.command, write.command.expires).verdict());
    }

    @ParameterizedTest
    @CsvSource({"0.06, 0.1, SEND", "0.06, 0.9, REJECT", "0.01, 0.1, REJECT"})
    void aClientThatWaitsLessThanUsualIsServedUnlessWorkPresses(double wait, double slowness, Verdict verdict) {
        press(slowness, 100);
        fleet.tellAll(fleet.now);
        int kept = 0;
        for (int i = 0; i < 20; i++) {
            Command read = new Command(fleet.any, 1, null, 0, fleet.now, fleet.now + wait);
            kept += fleet.decide.where(read, fleet.now).verdict() == verdict ? 1 : 0;
        }
        assertTrue(kept >= 10, "only " + kept);
    }

    @ParameterizedTest
    @CsvSource({"0.06, true", "4, false"})
    void timeOutsOfClientsThatWaitShortlyArePressureByTheirTimes(double wait, boolean serves) {
        for (int i = 0; i < 60; i++) {
            fleet.now += 0.5;
            fleet.tellAll(fleet.now);
            Command read = new Command(fleet.any, 1, null, 0, fleet.now, fleet.now + wait);
            Choice choice = fleet.ask(read);
            if (choice.verdict() == Verdict.SEND) {
                read.dispatches.add(choice.dispatch());
                double took = choice.dispatch().limit - fleet.now;
                fleet.decide.after(
                        choice.dispatch(),
                        new Reply(Outcome.TIMED_OUT, took, Role.UNKNOWN, 0, Role.UNKNOWN, 0, -1),
                        false,
                        fleet.now);
            }
        }
        int sent = 0;
        for (int i = 0; i < 6; i++) {
            fleet.now += 0.2;
            fleet.tellAll(fleet.now);
            sent += fleet.ask(fleet.command(fleet.any, 0)).verdict() == Verdict.SEND ? 1 : 0;
        }
        assertEquals(serves, sent > 3, "sent " + sent);
    }

    @Test
    void aReadThatEarnsNothingAnyMoreIsGivenUpAndRecalled() {
        Dispatch read = fleet.send(fleet.bounded);
        Choice choice = fleet.decide.where(read.command, fleet.now + fleet.bounded.responseTarget());
        assertEquals(Verdict.THROTTLE, choice.verdict());
        assertEquals(List.of(read), choice.recall());
    }

    @ParameterizedTest
    @CsvSource({"0.02, WAIT", "0.2, REJECT"})
    void aReadIsHeldForASmallPartOfItsTarget(double held, Verdict verdict) {
        Command read = fleet.command(fleet.bounded, 0);
        fleet.decide.listed(List.of(), true, fleet.now);
        assertEquals(verdict, fleet.decide.where(read, fleet.now + held).verdict());
    }

    @Test
    void writesWaitWhileThePrimaryIsSilentAndAllMembersAreProbed() {
        fleet.send(fleet.write);
        fleet.now += 0.5;
        assertEquals(
                Verdict.NOT_YET,
                fleet.decide.where(fleet.command(fleet.write, 0), fleet.now).verdict());
        assertEquals(3, fleet.decide.pause(fleet.now).probes().size());
    }

    @ParameterizedTest
    @CsvSource({"false, 0.1, WAIT", "false, 0.3, REJECT", "true, 0.3, WAIT"})
    void writesWithoutRoomWaitShortlyUnlessThereIsNoPrimary(boolean unwell, double held, Verdict verdict) {
        fleet.fill(fleet.write);
        Command waiting = fleet.command(fleet.write, 0);
        if (unwell) {
            fleet.list(fleet.primary, State.DRAINING, 0);
        }
        assertEquals(verdict, fleet.decide.where(waiting, fleet.now + held).verdict());
    }

    @Test
    void writesFollowTheNewerClaim() {
        fleet.now += 1;
        fleet.tell(fleet.other, Role.PRIMARY, fleet.now);
        assertEquals(fleet.other, fleet.send(fleet.write).node);
    }

    @ParameterizedTest
    @CsvSource({"3, SEND", "8, WAIT"})
    void aFormerPrimaryThatReportsAsReplicaIsBelievedOnceReportsOfItsReignAreOut(double later, Verdict verdict) {
        fleet.now += 1;
        fleet.tell(fleet.primary, Role.PRIMARY, fleet.now);
        fleet.now += later;
        fleet.tell(fleet.primary, Role.REPLICA, fleet.now - later - 0.5);
        assertEquals(
                verdict,
                fleet.decide.where(fleet.command(fleet.write, 0), fleet.now).verdict());
    }

    @Test
    void aWriteTurnedAwayByAFormerPrimaryWaitsForItsSuccessor() {
        Choice choice = fleet.answer(fleet.send(fleet.write), Outcome.TURNED_AWAY, Role.REPLICA, fleet.now);
        assertEquals(Verdict.NOT_YET, choice.verdict());
        fleet.now += 0.1;
        fleet.tell(fleet.other, Role.PRIMARY, fleet.now);
        assertEquals(fleet.other, fleet.send(fleet.write).node);
    }

    @Test
    void aSilentReplicaGetsNothingNewAndItsReadASecondCopyElsewhere() {
        Dispatch read = fleet.send(fleet.bounded);
        fleet.decide.pause(fleet.now);
        for (int i = 0; i < 32; i++) {
            fleet.now += 0.01;
            fleet.decide.where(read.command, fleet.now);
            fleet.decide.pause(fleet.now);
        }
        fleet.now += 0.05;
        fleet.tell(read.node.equals(fleet.other) ? fleet.replica : fleet.other, Role.REPLICA, fleet.now);
        Choice copy = fleet.decide.where(read.command, fleet.now);
        assertEquals(Verdict.SEND, copy.verdict());
        assertNotEquals(read.node, copy.dispatch().node);
    }

    @Test
    void oneSlowDispatchIsNoSilenceWhenAProbeComesBack() {
        Dispatch read = fleet.send(fleet.bounded);
        fleet.now += 0.35;
        fleet.decide.where(read.command, fleet.now);
        assertEquals(List.of(read.node), fleet.decide.pause(fleet.now).probes());
        fleet.tellAll(fleet.now);
        assertEquals(
                Verdict.NOT_YET, fleet.decide.where(read.command, fleet.now).verdict());
    }

    @Test
    void aRouterThatStoodStillTakesNoNodeForSilent() {
        fleet.send(fleet.write);
        fleet.decide.pause(fleet.now);
        fleet.now += 1.5;
        fleet.tellAll(fleet.now);
        assertEquals(fleet.primary, fleet.send(fleet.write).node);
    }

    @ParameterizedTest
    @CsvSource({"true, 0", "false, 2"})
    void whereGoneIsAdviceOnlyDrainingBinds(boolean goneBinds, int serving) {
        Fleet advised = new Fleet(3, true, false, false, goneBinds);
        advised.list(advised.replica, State.GONE, 0);
        advised.list(advised.other, State.GONE, 0);
        Set<Node> nodes = advised.nodesOf(advised.any, 4);
        nodes.remove(advised.primary);
        assertEquals(serving, nodes.size());
        advised.list(advised.replica, State.DRAINING, 0);
        advised.list(advised.replica, State.GONE, 0);
        assertFalse(advised.nodesOf(advised.any, 4).contains(advised.replica));
    }

    @ParameterizedTest
    @CsvSource({"RESET, true, true", "RESET, false, false", "CONNECT_FAILED, true, false", "ERROR, true, false"})
    void aResetTellsOfTheConnectionWhereTheNodeAnsweredSince(Outcome outcome, boolean answered, boolean serves) {
        for (int i = 0; i < (serves ? 3 : 1); i++) {
            Dispatch broken = fleet.send(fleet.write);
            Dispatch other = fleet.send(fleet.write);
            fleet.now += 0.01;
            if (answered) {
                fleet.answer(other, Outcome.ANSWERED, Role.PRIMARY, fleet.now);
            }
            fleet.answer(broken, outcome, Role.UNKNOWN, 0);
        }
        assertEquals(
                serves,
                fleet.decide.where(fleet.command(fleet.write, 0), fleet.now).verdict() == Verdict.SEND);
    }

    @Test
    void beliefsTellWhatIsOutAndWhoIsLeftOut() {
        fleet.send(fleet.write);
        Dispatch read = fleet.send(fleet.any);
        fleet.answer(read, Outcome.CONNECT_FAILED, Role.UNKNOWN, 0);
        fleet.list(fleet.primary, State.DRAINING, 0);
        String beliefs = fleet.decide.beliefs(fleet.now);
        assertTrue(beliefs.contains("c 1/3 0 primary closed"), beliefs);
        assertTrue(beliefs.contains(read.node.id() + " 0/3 0 out"), beliefs);
        for (int i = 0; i < 2000; i++) {
            fleet.list(new Node("n" + i, "north", 2 + i / 7), State.DRAINING, 0);
        }
        String longer = fleet.decide.beliefs(fleet.now);
        assertTrue(longer.matches("2003 known, 3 heard.{1,1000}, and 1983 more"), longer);
    }

    @Test
    void aNodeThatIsFullRests() {
        Dispatch read = fleet.send(fleet.any);
        fleet.answer(read, Outcome.FULL, Role.REPLICA, fleet.now);
        assertFalse(fleet.nodesOf(fleet.any, 4).contains(read.node));
        fleet.now += 0.06;
        assertTrue(fleet.nodesOf(fleet.any, 4).contains(read.node));
    }

    @Test
    void quickErrorsDoNotDrawTraffic() {
        for (int i = 0; i < 20; i++) {
            Dispatch read = fleet.send(fleet.any);
            Outcome outcome = read.node.equals(fleet.replica) ? Outcome.ERROR : Outcome.ANSWERED;
            fleet.decide.after(
                    read, new Reply(outcome, 0.01, Role.REPLICA, fleet.now, Role.UNKNOWN, 0, -1), true, fleet.now);
        }
        assertEquals(Set.of(fleet.other), fleet.nodesOf(fleet.any, 4));
    }

    @Test
    void abandonedDispatchesTakeRoomUntilALaterOneIsAnswered() {
        fleet.list(fleet.other, State.DRAINING, 0);
        fleet.list(fleet.primary, State.DRAINING, 0);
        Dispatch first = fleet.send(fleet.any);
        Dispatch last = fleet.send(fleet.any);
        fleet.fill(fleet.any);
        fleet.answer(first, Outcome.CANCELLED, Role.UNKNOWN, 0);
        assertEquals(
                Verdict.NOT_YET,
                fleet.decide.where(fleet.command(fleet.any, 0), fleet.now).verdict());
        fleet.answer(last, Outcome.ANSWERED, Role.REPLICA, fleet.now);
        assertEquals(
                Verdict.SEND,
                fleet.decide.where(fleet.command(fleet.any, 0), fleet.now).verdict());
    }

    @Test
    void slowAnswersNarrowTheWindow() {
        int before = new Fleet().fill(fleet.write);
        for (int i = 0; i < 60; i++) {
            Dispatch write = fleet.send(fleet.write);
            fleet.decide.after(
                    write,
                    new Reply(Outcome.ANSWERED, 0.25, Role.PRIMARY, fleet.now, Role.UNKNOWN, 0, -1),
                    true,
                    fleet.now);
        }
        int after = fleet.fill(fleet.write);
        assertTrue(after < before, after + " against " + before);
    }

    @ParameterizedTest
    @CsvSource({"true, 0.49, false", "true, 1.51, true", "false, 1.51, false"})
    void aFailedListCallIsRepeatedAfterAWhile(boolean mustAsk, double later, boolean asks) {
        Fleet asking = new Fleet(true, false, mustAsk);
        assertEquals(mustAsk, asking.decide.pause(asking.now).watchList());
        asking.decide.listFailed(asking.now);
        assertEquals(asks, asking.decide.pause(asking.now + later).watchList());
    }

    /** An idle router is asked again by then, not a second later. */
    @Test
    void theListIsAskedForWhenItIsDueAlsoWhereNothingElseIs() {
        Fleet asking = new Fleet(true, false, true);
        asking.decide.pause(asking.now);
        asking.decide.listFailed(asking.now);
        for (int i = 0; i < 3 && !asking.decide.pause(asking.now).watchList(); i++) {
            asking.now += asking.decide.pause(asking.now).seconds();
        }
        assertTrue(asking.now <= 1000 + 1.52, asking.now + "");
    }

    /**
     * A replica's log covered all and it answered a peer {@code heard} seconds ago, and failed there {@code failed}
     * ago.
     */
    private static Told told(double startedAt, double now, double heard, double failed) {
        double seen = now - heard;
        return new Told(
                startedAt,
                seen,
                seen,
                0,
                seen,
                Double.NEGATIVE_INFINITY,
                seen,
                seen,
                now - failed,
                failed < heard ? 1 : 0,
                0,
                0,
                0,
                0);
    }

    /** How many of two reads go to it at once; without a word of peers none does. */
    @ParameterizedTest
    @CsvSource({"0.1, Infinity, 2", "0.1, 0.2, 2", "3, Infinity, 0", "0.2, 0.1, 1"})
    void whatPeersSawCountsAsOldAsItWasThere(double heard, double failed, int goes) {
        fleet.now += 30;
        fleet.decide.told(fleet.replica, told(0, fleet.now, heard, failed), fleet.now);
        assertEquals(goes, fleet.sentTo(fleet.replica, fleet.bounded, 2));
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "1010, 2"})
    void whatPeersSawOfAnEarlierLifeOfANodeTellsNothing(double life, int goes) {
        fleet.now += 30;
        fleet.list(fleet.replica, State.READY, 1010);
        fleet.decide.told(fleet.replica, told(life, fleet.now, 0.1, Double.POSITIVE_INFINITY), fleet.now);
        assertEquals(goes, fleet.sentTo(fleet.replica, fleet.bounded, 2));
    }

    /** Where clients carry no marks, other routers may tell what a session's read must cover. */
    @Test
    void aMarkThatPeersToldBindsASessionsRead() {
        Fleet unmarked = new Fleet(false, false);
        Command marked = unmarked.command(unmarked.session, unmarked.now + 0.1);
        assertEquals(unmarked.primary, unmarked.ask(marked).dispatch().node);
        assertNotEquals(unmarked.primary, unmarked.send(unmarked.session).node);
    }

    @Test
    void aLateListIsAskedForAtOnceButNotOverAndOver() {
        Fleet asking = new Fleet(true, false, true);
        asking.decide.pause(asking.now);
        asking.decide.listed(List.of(), false, asking.now);
        assertFalse(asking.decide.pause(asking.now + 60).watchList());
        asking.decide.listLate(asking.now + 61);
        assertTrue(asking.decide.pause(asking.now + 61).watchList());
        asking.decide.listLate(asking.now + 62);
        assertFalse(asking.decide.pause(asking.now + 62).watchList());
    }

    @ParameterizedTest
    @CsvSource({
        "READY, 0.05, false, true",
        "DRAINING, 0.05, false, false",
        "READY, 0.35, false, false",
        "READY, 0.41, false, false",
        "READY, 0.05, true, false"
    })
    void aDispatchThatWaitedForItsConnectionGoesOutOnlyIfItStillMay(
            State state, double later, boolean over, boolean goes) {
        Dispatch dispatch = fleet.send(fleet.bounded);
        fleet.now += later;
        fleet.list(dispatch.node, state, 0);
        dispatch.command.over = over;
        assertEquals(goes, fleet.decide.mayStillGo(dispatch, fleet.now));
    }

    @ParameterizedTest
    @CsvSource({"0.44, WAIT", "0.46, REJECT"})
    void aWriteWithoutAPrimaryIsThrottledBeforeHalfItsTimeIsOver(double share, Verdict verdict) {
        fleet.list(fleet.primary, State.DRAINING, 0);
        Command write = fleet.command(fleet.write, 0);
        assertEquals(Verdict.NOT_YET, fleet.decide.where(write, fleet.now).verdict());
        fleet.now += share * fleet.write.clientTimeout();
        assertEquals(verdict, fleet.decide.where(write, fleet.now).verdict());
    }

    @ParameterizedTest
    @CsvSource({"0.09, 0.071", "0.25, 0.22", "10, 0.4"})
    void aDispatchEndsShortlyBeforeItsClientTimeout(double wait, double limit) {
        Command read = new Command(fleet.any, 1, null, 0, fleet.now, fleet.now + 0.1 + wait);
        assertEquals(Math.min(0.1 + limit, 0.4), fleet.ask(read).dispatch().limit - fleet.now, 1e-9);
    }

    @ParameterizedTest
    @CsvSource({"1.1, true", "1.25, false"})
    void aRepeatThatWaitedForItsConnectionGoesOutOnlyWithinTheRepeatWindow(double later, boolean goes) {
        Dispatch first = fleet.send(fleet.write);
        Choice again = fleet.answer(first, Outcome.RESET, Role.UNKNOWN, 0);
        for (int i = 0; i < 20 && again.verdict() == Verdict.NOT_YET; i++) {
            fleet.now += 0.05;
            fleet.tell(fleet.primary, Role.PRIMARY, fleet.now);
            again = fleet.ask(first.command);
        }
        first.command.dispatches.add(again.dispatch());
        assertEquals(goes, fleet.decide.mayStillGo(again.dispatch(), 1000 + later));
    }

    /** What was not heard for long is looked at first where that is allowed; else reads themselves find out. */
    @Test
    void whereNothingMayBeProbedReadsGoToReplicasThatWereNotHeardOfForLong() {
        Fleet unprobed = new Fleet(3, true, false, false, true, false);
        unprobed.now += 30;
        assertEquals(0, unprobed.sentTo(unprobed.primary, unprobed.any, 2));
    }

    /** Else a node that failed twice would be left out for good: no probe ever finds it back. */
    @Test
    void whereNothingMayBeProbedANodeThatFailedGetsATrialAfterItsRest() {
        Fleet unprobed = new Fleet(3, true, false, false, true, false);
        for (int i = 0; i < 12; i++) {
            Command command = unprobed.command(unprobed.any, 0);
            Choice sent = unprobed.ask(command);
            while (sent.verdict() == Verdict.SEND) {
                command.dispatches.add(sent.dispatch());
                sent = unprobed.answer(sent.dispatch(), Outcome.CONNECT_FAILED, Role.UNKNOWN, 0);
            }
            unprobed.now += 0.2;
        }
        unprobed.now += 2;
        Choice trial = unprobed.ask(unprobed.command(unprobed.any, 0));
        assertEquals(Verdict.SEND, trial.verdict());
        assertNotEquals(unprobed.primary, trial.dispatch().node);
    }
}
