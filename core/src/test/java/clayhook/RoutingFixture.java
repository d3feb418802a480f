package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.Decision.RoutingAction;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A replica set with a primary and two replicas, all of which have just reported, and the policy of one router. Tests
 * advance the clock by setting {@link #now}, in seconds.
 */
final class RoutingFixture {
    final Node primary = new Node("c", "north", 1);
    final Node replica = new Node("b", "north", 1);
    final Node otherReplica = new Node("a", "south", 1);
    final RequestClass bounded =
            requestClass("bounded", Idempotency.IDEMPOTENT, ConsistencyLevel.BOUNDED_STALENESS, 0.4, 0);
    final RequestClass session = requestClass("session", Idempotency.IDEMPOTENT, ConsistencyLevel.SESSION, 0.4, 0);
    final RequestClass eventual = requestClass("any", Idempotency.IDEMPOTENT, ConsistencyLevel.EVENTUAL, 0.4, 0);
    final RequestClass longRead = requestClass("report", Idempotency.IDEMPOTENT, ConsistencyLevel.EVENTUAL, 4, 0);
    final RequestClass write = requestClass("write", Idempotency.IDEMPOTENT_WITH_KEY, ConsistencyLevel.WRITE, 0.4, 0.5);
    private final RequestClass nonIdempotentWrite =
            requestClass("mutating", Idempotency.NON_IDEMPOTENT, ConsistencyLevel.WRITE, 0.4, 0.5);
    private final RequestClass strong =
            requestClass("fresh", Idempotency.IDEMPOTENT, ConsistencyLevel.STRONG, 0.4, 0.5);
    final RoutingPolicy policy;
    double now = 1000;
    /** The result of the next health check of each node: the result that it last reported. */
    private final Map<Node, AttemptResult> healthCheckResults = new HashMap<>();

    private RoutingFixture(Builder builder) {
        var settings = new RoutingSettings(
                builder.routerCount,
                "north",
                List.of(bounded, session, eventual, longRead, write, nonIdempotentWrite, strong),
                builder.endpointListMustBePolled,
                builder.goneIsBinding,
                builder.replicasRejectStaleReads,
                builder.requestsCarryLastWrite,
                builder.healthChecksAllowed,
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
        policy = new RoutingPolicy(settings, builder.seed, builder.lease);
        policy.onEndpointList(
                List.of(
                        new Endpoint(primary, Endpoint.State.READY, false, 0),
                        new Endpoint(replica, Endpoint.State.READY, false, 0),
                        new Endpoint(otherReplica, Endpoint.State.READY, false, 0)),
                true,
                now);
        reportAllPositions(now);
    }

    /** Returns a builder with the default settings of the tests. */
    static Builder builder() {
        return new Builder();
    }

    /** Builds a fixture with the settings that tests vary. */
    static final class Builder {
        private long seed = 1;
        private int routerCount = 3;
        private boolean requestsCarryLastWrite = true;
        private boolean replicasRejectStaleReads;
        private boolean endpointListMustBePolled;
        private boolean goneIsBinding = true;
        private boolean healthChecksAllowed = true;
        private EndpointListLease lease = EndpointListLease.unlimited();

        Builder lease(EndpointListLease value) {
            lease = value;
            return this;
        }

        Builder seed(long value) {
            seed = value;
            return this;
        }

        Builder routerCount(int value) {
            routerCount = value;
            return this;
        }

        Builder requestsCarryLastWrite(boolean value) {
            requestsCarryLastWrite = value;
            return this;
        }

        Builder replicasRejectStaleReads(boolean value) {
            replicasRejectStaleReads = value;
            return this;
        }

        Builder endpointListMustBePolled(boolean value) {
            endpointListMustBePolled = value;
            return this;
        }

        Builder goneIsBinding(boolean value) {
            goneIsBinding = value;
            return this;
        }

        Builder healthChecksAllowed(boolean value) {
            healthChecksAllowed = value;
            return this;
        }

        RoutingFixture build() {
            return new RoutingFixture(this);
        }
    }

    private static RequestClass requestClass(
            String name, Idempotency idempotency, ConsistencyLevel consistency, double objective, double lateWeight) {
        return new RequestClass(
                name,
                idempotency,
                consistency,
                objective,
                10 * objective,
                1,
                lateWeight,
                DeduplicationScope.REPLICA_SET,
                1.2,
                0.3);
    }

    /** Returns a request class with the given idempotency that only the primary executes. */
    RequestClass primaryClass(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> strong;
            case IDEMPOTENT_WITH_KEY -> write;
            case NON_IDEMPOTENT -> nonIdempotentWrite;
        };
    }

    void updateEndpoint(Node node, Endpoint.State state, double startedAt) {
        policy.onEndpointList(List.of(new Endpoint(node, state, false, startedAt)), false, now);
    }

    /** Updates the entry of the node that the endpoint list names as the primary. */
    void updateListedPrimary(Node node, Endpoint.State state, double startedAt) {
        policy.onEndpointList(List.of(new Endpoint(node, state, true, startedAt)), false, now);
    }

    /** Passes a load report with the role and log position of a node to the policy, as the result of a health check. */
    void reportPosition(Node node, Role role, double position) {
        var result = new AttemptResult(AttemptOutcome.ANSWERED, 0.001, Role.UNKNOWN, 0, role, position, -1);
        healthCheckResults.put(node, result);
        policy.onHealthCheck(node, result, now);
    }

    /** Passes a failed health check of a draining node to the policy. */
    void failHealthCheck(Node node) {
        var result = AttemptResult.withoutReport(AttemptOutcome.ERROR, 0.001);
        healthCheckResults.put(node, result);
        policy.onHealthCheck(node, result, now);
    }

    /** Passes a health check that the node answered by saying that it drains, with its role, to the policy. */
    void reportDraining(Node node, Role role) {
        var result = new AttemptResult(AttemptOutcome.DRAINING, 0.001, role, 0, Role.UNKNOWN, 0, -1);
        healthCheckResults.put(node, result);
        policy.onHealthCheck(node, result, now);
    }

    /** Passes a failed health check, whose answer reports the role of the node, to the policy. */
    void failHealthCheck(Node node, Role role) {
        var result = new AttemptResult(AttemptOutcome.ERROR, 0.001, role, 0, Role.UNKNOWN, 0, -1);
        healthCheckResults.put(node, result);
        policy.onHealthCheck(node, result, now);
    }

    void reportAllPositions(double position) {
        reportPosition(primary, Role.PRIMARY, position);
        reportPosition(replica, Role.REPLICA, position);
        reportPosition(otherReplica, Role.REPLICA, position);
    }

    Request request(RequestClass requestClass, double lastWritePosition) {
        double deadline = now + requestClass.clientTimeoutSeconds();
        return new Request(requestClass, 1, "s", lastWritePosition, now, deadline);
    }

    /** Routes a request until it no longer waits; health checks are answered at once, at most nine times. */
    Decision route(Request request) {
        Decision decision = policy.route(request, now);
        for (int i = 0; i < 9 && decision.action() == RoutingAction.WAIT; i++) {
            answerHealthChecks();
            decision = policy.route(request, now);
        }
        return decision;
    }

    /** Answers the due health checks with the last result of each node. */
    void answerHealthChecks() {
        policy.tick(now).healthChecks().forEach(node -> policy.onHealthCheck(node, healthCheckResults.get(node), now));
    }

    /** Routes a new request, asserts that it is sent, and returns the attempt. */
    Attempt send(RequestClass requestClass) {
        Decision decision = route(request(requestClass, 0));
        assertEquals(RoutingAction.SEND, decision.action());
        decision.attempt().request.attempts.add(decision.attempt());
        return decision.attempt();
    }

    /** Routes requests until one is not sent, and returns the number of requests sent. */
    int sendUntilFull(RequestClass requestClass) {
        int count = 0;
        while (policy.route(request(requestClass, 0), now).action() == RoutingAction.SEND) {
            count++;
        }
        return count;
    }

    /** Routes requests and returns the nodes to which they are sent. */
    Set<Node> nodesChosenFor(RequestClass requestClass, int requests) {
        var nodes = new HashSet<Node>();
        for (int i = 0; i < requests; i++) {
            Decision decision = policy.route(request(requestClass, 0), now);
            if (decision.action() == RoutingAction.SEND) {
                nodes.add(decision.attempt().node);
            }
        }
        return nodes;
    }

    /** Routes requests and returns the number of them that are sent to the given node. */
    int countSentTo(Node node, RequestClass requestClass, int requests) {
        int count = 0;
        for (int i = 0; i < requests; i++) {
            Decision decision = policy.route(request(requestClass, 0), now);
            boolean sent = decision.action() == RoutingAction.SEND;
            count += sent && decision.attempt().node.equals(node) ? 1 : 0;
        }
        return count;
    }

    /** Finishes an attempt that took from when it was sent until now. */
    Decision finish(Attempt attempt, AttemptOutcome outcome, Role role, double position) {
        double elapsed = now - attempt.sentAt;
        var result = new AttemptResult(outcome, elapsed, role, position, Role.UNKNOWN, 0, -1);
        return policy.onAttemptFinished(attempt, result, outcome == AttemptOutcome.ANSWERED, now);
    }

    /** Answers an attempt with the given elapsed time, and completes its request. */
    void answer(Attempt attempt, double elapsedSeconds, Role role, double position) {
        var result = new AttemptResult(AttemptOutcome.ANSWERED, elapsedSeconds, role, position, Role.UNKNOWN, 0, -1);
        policy.onAttemptFinished(attempt, result, true, now);
    }
}
