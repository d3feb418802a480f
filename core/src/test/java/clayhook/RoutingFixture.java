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
 * A primary and two replicas, all seen just now, and the policy of a router that decides for them. Tests move the time
 * by setting {@link #now}, in seconds.
 */
final class RoutingFixture {
    final Node primary = new Node("c", "north", 1);
    final Node replica = new Node("b", "north", 1);
    final Node otherReplica = new Node("a", "south", 1);
    final RequestClass bounded =
            requestClass("bounded", Idempotency.IDEMPOTENT, ConsistencyLevel.BOUNDED_STALENESS, 0.4, 0);
    final RequestClass session = requestClass("session", Idempotency.IDEMPOTENT, ConsistencyLevel.SESSION, 0.4, 0);
    final RequestClass eventual = requestClass("any", Idempotency.IDEMPOTENT, ConsistencyLevel.EVENTUAL, 0.4, 0);
    final RequestClass report = requestClass("report", Idempotency.IDEMPOTENT, ConsistencyLevel.EVENTUAL, 4, 0);
    final RequestClass write = requestClass("write", Idempotency.IDEMPOTENT_WITH_KEY, ConsistencyLevel.WRITE, 0.4, 0.5);
    private final RequestClass nonIdempotentWrite =
            requestClass("mutating", Idempotency.NON_IDEMPOTENT, ConsistencyLevel.WRITE, 0.4, 0.5);
    private final RequestClass strong =
            requestClass("fresh", Idempotency.IDEMPOTENT, ConsistencyLevel.STRONG, 0.4, 0.5);
    final RoutingPolicy policy;
    double now = 1000;
    /** The result of a health check of each node: what it reported last. */
    private final Map<Node, AttemptResult> healthCheckResults = new HashMap<>();

    private RoutingFixture(Builder builder) {
        var settings = new RoutingSettings(
                builder.routerCount,
                "north",
                List.of(bounded, session, eventual, report, write, nonIdempotentWrite, strong),
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
        reportAll(now);
    }

    /** Returns a builder with the settings that most tests use. */
    static Builder builder() {
        return new Builder();
    }

    /** The settings that tests vary. */
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

    /** Returns a class of requests that only the primary takes. */
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

    /** Passes the load report of a node to the policy, as the result of a health check. */
    void report(Node node, Role role, double position) {
        var result = new AttemptResult(AttemptOutcome.ANSWERED, 0.001, Role.UNKNOWN, 0, role, position, -1);
        healthCheckResults.put(node, result);
        policy.onHealthCheck(node, result, now);
    }

    /** A health check of a node fails, as it drains. */
    void failCheck(Node node) {
        var result = AttemptResult.withoutReport(AttemptOutcome.ERROR, 0.001);
        healthCheckResults.put(node, result);
        policy.onHealthCheck(node, result, now);
    }

    void reportAll(double position) {
        report(primary, Role.PRIMARY, position);
        report(replica, Role.REPLICA, position);
        report(otherReplica, Role.REPLICA, position);
    }

    Request request(RequestClass requestClass, double lastWritePosition) {
        double deadline = now + requestClass.clientTimeoutSeconds();
        return new Request(requestClass, 1, "s", lastWritePosition, now, deadline);
    }

    /** Routes a request until it no longer waits for a health check; health checks are answered at once. */
    Decision route(Request request) {
        Decision decision = policy.route(request, now);
        for (int i = 0; i < 9 && decision.action() == RoutingAction.WAIT; i++) {
            answerHealthChecks();
            decision = policy.route(request, now);
        }
        return decision;
    }

    /** Answers the health checks that are due as each node last did. */
    void answerHealthChecks() {
        policy.tick(now).healthChecks().forEach(node -> policy.onHealthCheck(node, healthCheckResults.get(node), now));
    }

    /** Routes a new request, which has to be sent, and returns the attempt. */
    Attempt send(RequestClass requestClass) {
        Decision decision = route(request(requestClass, 0));
        assertEquals(RoutingAction.SEND, decision.action());
        decision.attempt().request.attempts.add(decision.attempt());
        return decision.attempt();
    }

    /** Routes requests until one is not sent; returns how many were sent. */
    int sendUntilFull(RequestClass requestClass) {
        int count = 0;
        while (policy.route(request(requestClass, 0), now).action() == RoutingAction.SEND) {
            count++;
        }
        return count;
    }

    /** Routes requests and returns the nodes that they are sent to. */
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

    /** Routes requests and returns how many of them are sent to a node. */
    int countSentTo(Node node, RequestClass requestClass, int requests) {
        int count = 0;
        for (int i = 0; i < requests; i++) {
            Decision decision = policy.route(request(requestClass, 0), now);
            boolean sent = decision.action() == RoutingAction.SEND;
            count += sent && decision.attempt().node.equals(node) ? 1 : 0;
        }
        return count;
    }

    /** Ends an attempt that took from its start until now. */
    Decision finish(Attempt attempt, AttemptOutcome outcome, Role role, double position) {
        double elapsed = now - attempt.sentAt;
        var result = new AttemptResult(outcome, elapsed, role, position, Role.UNKNOWN, 0, -1);
        return policy.onAttemptFinished(attempt, result, outcome == AttemptOutcome.ANSWERED, now);
    }

    /** Answers an attempt as if it had taken so many seconds, and completes its request. */
    void answer(Attempt attempt, double elapsedSeconds, Role role, double position) {
        var result = new AttemptResult(AttemptOutcome.ANSWERED, elapsedSeconds, role, position, Role.UNKNOWN, 0, -1);
        policy.onAttemptFinished(attempt, result, true, now);
    }
}
