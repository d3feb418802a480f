package clayhook.clustertests;

import clayhook.clustertests.ShutdownPlan.TimedSignal;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Shuts routers down by SIGTERM while clients of all kinds use them, kills them by SIGKILL at the earliest time that
 * the protocol allows, and then checks each request that a client sent.
 */
final class ShutdownScenario {
    private static final double MAX_COUNTED_TIMEOUT_SECONDS = 3;
    private static final double KILL_MARGIN_SECONDS = 0.7;
    /** Seconds from the start of the clients to SIGTERM, within which all clients get their first answer. */
    private static final double CLIENT_LEAD_SECONDS = 1.5;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int MAX_SHOWN_VIOLATIONS = 20;
    /** Text in a router's log line about a request that it read and did not answer. */
    private static final String UNANSWERED_INPUT = "read and not answered";

    /**
     * The result of a shutdown.
     *
     * @param records records of all requests
     * @param violations descriptions of all violations; empty if no request was lost and each router ended by itself
     */
    record Result(List<RequestRecord> records, List<String> violations) {
        /** Number of requests by kind of client and outcome. */
        Map<String, Integer> summary() {
            var summary = new TreeMap<String, Integer>();
            records.forEach(each -> summary.merge(each.client() + " " + each.outcome(), 1, Integer::sum));
            return summary;
        }

        @Override
        public String toString() {
            String first = String.join("\n", violations.subList(0, Math.min(MAX_SHOWN_VIOLATIONS, violations.size())));
            return summary() + ", " + violations.size() + " violations, first:\n" + first;
        }
    }

    private final RouterFleet fleet;
    private final ShutdownPlan plan;
    private final List<RouterProcess> routers;
    private final double killSeconds;
    private final Map<RouterProcess, ShutdownClients> clients = new LinkedHashMap<>();
    private final Map<RouterProcess, Integer> logMarks = new LinkedHashMap<>();
    private final List<TcpRelay> relays = new ArrayList<>();
    /** Time at which the plan killed the routers; from then on they owe no answers. */
    private double killedAt = Double.POSITIVE_INFINITY;

    private final List<String> violations = new ArrayList<>();

    private ShutdownScenario(RouterFleet fleet, List<RouterProcess> routers, ShutdownPlan plan) {
        this.fleet = fleet;
        this.routers = routers;
        this.plan = plan;
        killSeconds = killSeconds(fleet.spec()) + plan.excessStallSeconds();
    }

    /** Seconds from SIGTERM to the earliest SIGKILL in a fleet. */
    static double killSeconds(FleetSpec spec) {
        return Math.min(spec.clientTimeoutSeconds(), MAX_COUNTED_TIMEOUT_SECONDS) + KILL_MARGIN_SECONDS;
    }

    /** Shuts down some routers of a fleet at the same time. */
    static Result run(RouterFleet fleet, List<RouterProcess> routers, ShutdownPlan plan, Random random)
            throws IOException, InterruptedException {
        var scenario = new ShutdownScenario(fleet, routers, plan);
        try {
            scenario.startClients(random);
            sleep(CLIENT_LEAD_SECONDS);
            scenario.setHungNodeBehavior(ClusterNode.Behavior.HUNG);
            scenario.sendSignals();
            scenario.kill();
            return scenario.check();
        } finally {
            scenario.setHungNodeBehavior(ClusterNode.Behavior.WELL);
            for (TcpRelay relay : scenario.relays) {
                relay.close();
            }
        }
    }

    private void startClients(Random random) throws IOException {
        for (RouterProcess router : routers) {
            logMarks.put(router, router.logMark());
            var ofRouter = new ShutdownClients(
                    fleet.attempts(),
                    router.name(),
                    addressOf(router),
                    fleet.spec().clientTimeoutSeconds(),
                    killSeconds);
            clients.put(router, ofRouter);
            ofRouter.start(plan.clientsOfEachKind(), random);
        }
    }

    private InetSocketAddress addressOf(RouterProcess router) throws IOException {
        if (plan.linkDelaySeconds() == 0) {
            return router.address();
        }
        var relay = new TcpRelay(router.address());
        relay.setDelay(plan.linkDelaySeconds());
        relays.add(relay);
        return relay.address();
    }

    private void setHungNodeBehavior(ClusterNode.Behavior behavior) {
        plan.hungNodes().forEach(number -> fleet.nodes().get(number).setBehavior(behavior));
    }

    private void sendSignals() throws IOException, InterruptedException {
        double terminateAt = HistoryRecorder.now() - Math.min(0, firstSignalAfter());
        boolean terminated = false;
        for (TimedSignal signal : plan.signals()) {
            if (signal.after() >= 0 && !terminated) {
                terminate(terminateAt);
                terminated = true;
            }
            sleep(terminateAt + signal.after() - HistoryRecorder.now());
            send(signal.name());
        }
        if (!terminated) {
            terminate(terminateAt);
        }
        sleep(terminateAt + killSeconds - HistoryRecorder.now());
    }

    private double firstSignalAfter() {
        return plan.signals().isEmpty() ? 0 : plan.signals().get(0).after();
    }

    private void terminate(double at) throws IOException, InterruptedException {
        sleep(at - HistoryRecorder.now());
        routers.forEach(fleet::onShuttingDown);
        RouterProcess.signalRunning(routers, "TERM");
        double now = HistoryRecorder.now();
        clients.values().forEach(ofRouter -> ofRouter.onSignalled(now));
    }

    private void send(String signal) throws IOException {
        if (signal.equals("KILL")) {
            killedAt = HistoryRecorder.now();
            routers.forEach(fleet::onEnded);
        }
        RouterProcess.signalRunning(routers, signal);
        if (signal.equals("CONT")) {
            routers.forEach(router -> fleet.attempts().onResumed(router.name()));
        }
    }

    private void kill() throws InterruptedException {
        for (RouterProcess router : routers) {
            if (router.isRunning()) {
                violations.add(router.name() + " had not ended by the time of SIGKILL");
                router.kill();
            }
        }
        for (RouterProcess router : routers) {
            router.awaitEnd();
            fleet.onEnded(router);
        }
    }

    private Result check() throws InterruptedException {
        var records = new ArrayList<RequestRecord>();
        for (RouterProcess router : routers) {
            ShutdownClients ofRouter = clients.get(router);
            if (!ofRouter.awaitFinished(killSeconds + HistoryRecorder.MACHINE_SECONDS)) {
                violations.add("clients of " + router.name() + " have not finished");
            }
            violations.addAll(ofRouter.failures());

            ofRouter.records().stream()
                    .filter(each -> each.isAnswered() || each.finishedAt() < killedAt)
                    .forEach(records::add);
            router.linesSince(logMarks.get(router)).stream()
                    .filter(line -> line.contains(UNANSWERED_INPUT))
                    .forEach(line -> violations.add(router.name() + " logs: " + line));
        }
        violations.addAll(RequestAudit.violations(records, plan.excessStallSeconds()));
        if (!violations.isEmpty()) {
            violations.add("in " + plan + " of " + routers.size() + " routers");
        }
        return new Result(records, List.copyOf(violations));
    }

    /** Sleeps for a time; returns at once if it is negative. */
    private static void sleep(double seconds) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep((long) (seconds * NANOS_PER_SECOND));
    }
}
