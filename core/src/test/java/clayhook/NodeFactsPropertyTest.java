package clayhook;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Decision.RoutingAction;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Plays random orders of lists with and without nodes, restarts, failovers, drains, answers, health checks and lease
 * events against the policy, and compares each attempt with {@link NodeFactsModel}. A seed is one order of events, with
 * a random deployment: pushed or polled lists, with or without health checks.
 */
class NodeFactsPropertyTest {
    private static final int SEEDS = Integer.getInteger("clayhook.facts.seeds", 300);
    private static final int EVENTS = 400;
    private static final int NODES = 4;
    private static final double DRAIN_GRACE = 0.6;
    /** The slow start of the last restart, elections and backoffs are over by then. */
    private static final double MAX_RECOVERY_SECONDS = 40;

    /** A node as it is, whatever the router knows. */
    private static final class TrueNode {
        private final Node node;
        private final boolean listedAsPrimary;
        private boolean draining;
        private boolean listed = true;
        private double startedAt;
        private double position;

        private TrueNode(Node node, boolean listedAsPrimary) {
            this.node = node;
            this.listedAsPrimary = listedAsPrimary;
        }

        private Endpoint endpoint() {
            Endpoint.State state = draining ? Endpoint.State.DRAINING : Endpoint.State.READY;
            return new Endpoint(node, state, listedAsPrimary, startedAt);
        }
    }

    private record HealthCheck(TrueNode node, double sentAt) {}

    /** One play: the deployment as it is, the policy, and the model. */
    private static final class Play {
        private final Random random;
        private final boolean healthChecksAllowed;
        private final EndpointListLease lease;
        private final NodeFactsModel model;
        private final RoutingPolicy policy;
        private final List<TrueNode> nodes = new ArrayList<>();
        private final List<Request> waiting = new ArrayList<>();
        private final List<Attempt> unsent = new ArrayList<>();
        private final List<Attempt> sent = new ArrayList<>();
        private final List<HealthCheck> healthChecks = new ArrayList<>();
        private final List<RequestClass> classes = List.of(
                requestClass("strong", Idempotency.IDEMPOTENT, ConsistencyLevel.STRONG),
                requestClass("bounded", Idempotency.IDEMPOTENT, ConsistencyLevel.BOUNDED_STALENESS),
                requestClass("any", Idempotency.IDEMPOTENT, ConsistencyLevel.EVENTUAL),
                requestClass("write", Idempotency.IDEMPOTENT_WITH_KEY, ConsistencyLevel.WRITE));
        private TrueNode primary;
        private TrueNode strongReadSentTo;
        private double now = 1000;

        Play(long seed) {
            random = new Random(seed);
            healthChecksAllowed = random.nextInt(4) > 0;
            var delivery =
                    random.nextBoolean() ? new EndpointListDelivery(true, DRAIN_GRACE) : EndpointListDelivery.POLLED;
            lease = EndpointListLease.of(delivery, healthChecksAllowed, now);
            model = new NodeFactsModel(delivery, healthChecksAllowed, now);
            policy = new RoutingPolicy(settings(classes, healthChecksAllowed), seed, lease);
            for (int i = 0; i < NODES; i++) {
                nodes.add(new TrueNode(new Node("n" + i, "a", 1), i == 0));
            }
            primary = nodes.get(0);
            publishCompleteList();
        }

        private static RequestClass requestClass(String name, Idempotency idempotency, ConsistencyLevel consistency) {
            return new RequestClass(
                    name, idempotency, consistency, 1, 4, 1, 0.5, DeduplicationScope.REPLICA_SET, 1.2, 0.3);
        }

        private static RoutingSettings settings(List<RequestClass> classes, boolean healthChecksAllowed) {
            return new RoutingSettings(
                    3,
                    "a",
                    classes,
                    true,
                    true,
                    false,
                    true,
                    healthChecksAllowed,
                    true,
                    true,
                    true,
                    1,
                    8,
                    0.2,
                    10,
                    3,
                    3,
                    1,
                    15);
        }

        // ---- events ----

        private void playRandomEvent() {
            now += random.nextInt(10) == 0 ? random.nextDouble() * 3 : random.nextDouble() * 0.1;
            TrueNode node = nodes.get(random.nextInt(NODES));
            switch (random.nextInt(14)) {
                case 0 -> failOver(node);
                case 1 -> node.draining = !node.draining && random.nextBoolean();
                case 2 -> restart(node);
                case 3 -> node.listed = random.nextInt(3) > 0;
                case 4 -> publishCompleteList();
                case 5 -> publishChange(node);
                case 6 -> confirmList();
                case 7 -> loseWatch();
                case 8, 9 -> answerHealthCheck();
                case 10 -> finishAttempt();
                default -> addRequest(classes.get(random.nextInt(classes.size())));
            }
            advance();
        }

        private void failOver(TrueNode successor) {
            nodes.forEach(this::updatePosition);
            primary = successor;
        }

        /** Starts the process of a node anew; if it was primary, another member is elected. */
        private void restart(TrueNode node) {
            if (node == primary) {
                failOver(nodes.get((nodes.indexOf(node) + 1) % NODES));
            }
            node.draining = false;
            node.startedAt = now;
        }

        /** A replica applies the log late, and a primary has all of it. */
        private void updatePosition(TrueNode node) {
            double reached = node == primary ? now : now - random.nextDouble() * 2;
            node.position = Math.max(node.position, reached);
        }

        private void publishCompleteList() {
            var endpoints = new ArrayList<Endpoint>();
            for (TrueNode node : nodes) {
                if (node.listed) {
                    endpoints.add(node.endpoint());
                    model.onListed(node.node, node.endpoint().state(), node.startedAt, now);
                } else {
                    model.onGone(node.node);
                }
            }
            policy.onEndpointList(endpoints, true, now);
        }

        private void publishChange(TrueNode node) {
            Endpoint endpoint = node.endpoint();
            if (node.listed) {
                model.onListed(node.node, endpoint.state(), node.startedAt, now);
            } else {
                model.onGone(node.node);
                endpoint = new Endpoint(node.node, Endpoint.State.GONE, node.listedAsPrimary, node.startedAt);
            }
            policy.onEndpointList(List.of(endpoint), false, now);
        }

        private void confirmList() {
            lease.onConfirmed(now, now);
            model.onListConfirmed(now);
        }

        private void loseWatch() {
            lease.onWatchLost(now);
            model.onWatchLost(now);
        }

        private void answerHealthCheck() {
            if (healthChecks.isEmpty()) {
                return;
            }
            HealthCheck check = healthChecks.remove(random.nextInt(healthChecks.size()));
            TrueNode node = check.node();
            boolean answered = random.nextInt(10) > 0;
            AttemptOutcome outcome = !answered
                    ? AttemptOutcome.CONNECT_FAILED
                    : node.draining ? AttemptOutcome.DRAINING : AttemptOutcome.ANSWERED;
            AttemptResult result = result(node, outcome, answered, check.sentAt());
            model.onHealthCheck(node.node, outcome, now - result.elapsedSeconds(), now);
            policy.onHealthCheck(node.node, result, now);
        }

        /** Returns a result, and passes what it reports to the model. */
        private AttemptResult result(TrueNode node, AttemptOutcome outcome, boolean reports, double sentAt) {
            if (!reports) {
                return AttemptResult.withoutReport(outcome, now - sentAt);
            }
            updatePosition(node);
            Role role = node == primary ? Role.PRIMARY : Role.REPLICA;
            model.onReport(node.node, role, node.position);
            return new AttemptResult(outcome, now - sentAt, role, node.position, Role.UNKNOWN, 0, -1);
        }

        private void finishAttempt() {
            if (sent.isEmpty()) {
                return;
            }
            Attempt attempt = sent.remove(random.nextInt(sent.size()));
            boolean isWrite = attempt.request.consistency() == ConsistencyLevel.WRITE;
            TrueNode node = trueNode(attempt.node);
            boolean answered = random.nextInt(6) > 0;
            AttemptOutcome outcome = !answered
                    ? AttemptOutcome.CONNECT_FAILED
                    : isWrite && node != primary ? AttemptOutcome.REJECTED : AttemptOutcome.ANSWERED;
            finish(attempt, result(node, outcome, answered, attempt.sentAt));
        }

        private void finish(Attempt attempt, AttemptResult result) {
            model.onAttempt(attempt.node, result.outcome(), attempt.sentAt, now);
            Request request = attempt.request;
            request.completed |= result.outcome() == AttemptOutcome.ANSWERED;
            handle(request, policy.onAttemptFinished(attempt, result, request.completed, now));
        }

        private TrueNode trueNode(Node node) {
            return nodes.stream()
                    .filter(candidate -> candidate.node.equals(node))
                    .findFirst()
                    .orElseThrow();
        }

        private void addRequest(RequestClass requestClass) {
            var request = new Request(requestClass, 1, null, 0, now, now + requestClass.clientTimeoutSeconds());
            handle(request, policy.route(request, now));
        }

        // ---- what the router does ----

        private void advance() {
            for (Request request : List.copyOf(waiting)) {
                waiting.remove(request);
                handle(request, policy.route(request, now));
            }
            writeOrCancelUnsent();
            for (Node node : policy.tick(now).healthChecks()) {
                healthChecks.add(new HealthCheck(trueNode(node), now));
            }
        }

        private void handle(Request request, Decision decision) {
            if (decision.action() == RoutingAction.SEND) {
                request.attempts.add(decision.attempt());
                assertAllowed(decision.attempt());
                unsent.add(decision.attempt());
            } else if (decision.action() == RoutingAction.WAIT) {
                waiting.add(request);
            } else {
                request.completed = true;
            }
        }

        /** Writes some of the attempts that wait for a connection, if the policy still allows it. */
        private void writeOrCancelUnsent() {
            for (Attempt attempt : List.copyOf(unsent)) {
                if (policy.refusalOf(attempt, now) != AttemptRefusal.NONE) {
                    unsent.remove(attempt);
                    finish(attempt, AttemptResult.withoutReport(AttemptOutcome.NOT_SENT, now - attempt.sentAt));
                } else if (random.nextBoolean()) {
                    assertAllowed(attempt);
                    unsent.remove(attempt);
                    sent.add(attempt);
                    boolean strong = attempt.request.consistency() == ConsistencyLevel.STRONG;
                    strongReadSentTo = strong ? trueNode(attempt.node) : strongReadSentTo;
                }
            }
        }

        private void assertAllowed(Attempt attempt) {
            String violation = model.violation(attempt.request, attempt.node, now);
            assertNull(violation, () -> attempt.node + " got " + attempt.request.requestClass.name() + " at " + now);
        }

        // ---- recovery ----

        /** Lets all nodes serve and all answers arrive; returns whether a strong read gets to the primary in time. */
        private boolean recovers() {
            nodes.forEach(node -> {
                node.draining = false;
                node.listed = true;
            });
            publishCompleteList();
            double end = now + MAX_RECOVERY_SECONDS;
            strongReadSentTo = null;
            while (now < end && strongReadSentTo != primary) {
                now += 0.05;
                confirmList();
                addRequest(classes.get(random.nextInt(classes.size())));
                advance();
                answerHealthCheck();
                answerHealthCheck();
                finishAttempt();
                finishAttempt();
            }
            return strongReadSentTo == primary;
        }
    }

    /** Guards against attempts that a fact forbids which an event, or the lack of one, has made the router forget. */
    @Test
    void noAttemptContradictsWhatWasReportedToTheRouter() {
        for (long seed = 1; seed <= SEEDS; seed++) {
            try {
                var play = new Play(seed);
                for (int i = 0; i < EVENTS; i++) {
                    play.playRandomEvent();
                }
                assertTrue(play.recovers(), "no strong read reached the primary in time");
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
    }
}
