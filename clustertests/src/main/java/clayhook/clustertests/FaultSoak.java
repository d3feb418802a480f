package clayhook.clustertests;

import clayhook.clustertests.LoadClient.Answer;
import clayhook.clustertests.SoakSchedule.TimedFault;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Runs a schedule of faults on a fleet under load and checks the run against the rules. */
final class FaultSoak {
    /** Result of a run; the lists are empty if no rule was violated. */
    record Verdict(
            List<String> drainViolations,
            List<String> slowStartViolations,
            List<String> attemptViolations,
            Map<?, Integer> brokenRules,
            List<String> reported,
            String firstBroken,
            String figures) {
        boolean isClean() {
            return drainViolations.isEmpty()
                    && slowStartViolations.isEmpty()
                    && attemptViolations.isEmpty()
                    && brokenRules.isEmpty()
                    && reported.isEmpty();
        }
    }

    private static final double MILLIS_PER_SECOND = 1000;
    /** Seconds after the last fault within which the fleet has to serve requests again. */
    private static final double RECOVERY_SECONDS = 20;

    private static final int SERVED_AFTERWARDS = 20;

    private final RouterFleet fleet;
    private final List<Thread> laneThreads = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();

    private FaultSoak(RouterFleet fleet) {
        this.fleet = fleet;
    }

    /** Runs the faults and returns the verdict; the fleet's load must have been started. */
    static Verdict run(RouterFleet fleet, List<TimedFault> faults) throws InterruptedException {
        var soak = new FaultSoak(fleet);
        double startedAt = HistoryRecorder.now();
        faults.stream()
                .collect(Collectors.groupingBy(TimedFault::lane))
                .values()
                .forEach(lane -> soak.start(lane, startedAt));
        for (Thread thread : soak.laneThreads) {
            thread.join();
        }
        soak.awaitRecovery();
        fleet.stopLoad();
        var reported = new ArrayList<>(fleet.reportedViolations());
        fleet.shutdowns().forEach(shutdown -> reported.addAll(shutdown.violations()));
        synchronized (soak) {
            reported.addAll(soak.failures);
        }
        return new Verdict(
                fleet.drains().violations(),
                fleet.slowStarts().violations(),
                fleet.attempts().violations(),
                fleet.brokenRules(),
                List.copyOf(reported),
                fleet.firstViolation(),
                fleet.summary());
    }

    private void start(List<TimedFault> lane, double startedAt) {
        var thread = new Thread(() -> lane.forEach(fault -> execute(fault, startedAt)), "faults");
        thread.setDaemon(true);
        thread.start();
        laneThreads.add(thread);
    }

    private void execute(TimedFault timed, double startedAt) {
        try {
            sleepUntil(startedAt + timed.begins());
            double beganAt = HistoryRecorder.now();
            timed.fault().begin(fleet);
            sleepUntil(beganAt + timed.seconds());
            timed.fault().end(fleet);
        } catch (IOException | RuntimeException e) {
            addFailure(timed + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void addFailure(String text) {
        failures.add(text);
    }

    private void awaitRecovery() throws InterruptedException {
        int target = fleet.answered(Answer.SERVED)
                + SERVED_AFTERWARDS * fleet.routers().size();
        if (!fleet.await(() -> fleet.answered(Answer.SERVED) >= target, RECOVERY_SECONDS)) {
            addFailure("the fleet does not serve requests after the faults: " + fleet.logs());
        }
    }

    private static void sleepUntil(double time) throws InterruptedException {
        double seconds = time - HistoryRecorder.now();
        if (seconds > 0) {
            Thread.sleep((long) (seconds * MILLIS_PER_SECOND));
        }
    }
}
