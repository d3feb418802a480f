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

/** A primary and two replicas, all heard of just now, and the router that decides for them. */
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
    /** What each node answers when it is probed: the last that it told. */
    private final Map<Node, AttemptResult> healthCheckResults = new HashMap<>();

    RoutingFixture() {
        this(true, false);
    }

    RoutingFixture(boolean marksCarried, boolean replicasCheck) {
        this(marksCarried, replicasCheck, false);
    }

    RoutingFixture(boolean marksCarried, boolean replicasCheck, boolean listMustBeAsked) {
        this(3, marksCarried, replicasCheck, listMustBeAsked, true);
    }

    RoutingFixture(
            int routers, boolean marksCarried, boolean replicasCheck, boolean listMustBeAsked, boolean goneBinds) {
        this(routers, marksCarried, replicasCheck, listMustBeAsked, goneBinds, true);
    }

    RoutingFixture(
            int routers,
            boolean marksCarried,
            boolean replicasCheck,
            boolean listMustBeAsked,
            boolean goneBinds,
            boolean mayProbe) {
        policy = new RoutingPolicy(
                new RoutingSettings(
                        routers,
                        "north",
                        List.of(bounded, session, eventual, report, write, nonIdempotentWrite, strong),
                        listMustBeAsked,
                        goneBinds,
                        replicasCheck,
                        marksCarried,
                        mayProbe,
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
                        15),
                1);
        policy.onEndpointList(
                List.of(
                        new Endpoint(primary, Endpoint.State.READY, false, 0),
                        new Endpoint(replica, Endpoint.State.READY, false, 0),
                        new Endpoint(otherReplica, Endpoint.State.READY, false, 0)),
                true,
                now);
        reportAll(now);
    }

    private static RequestClass requestClass(
            String name, Idempotency effect, ConsistencyLevel level, double target, double late) {
        return new RequestClass(
                name, effect, level, target, 10 * target, 1, late, DeduplicationScope.REPLICA_SET, 1.2, 0.3);
    }

    RequestClass primaryClass(Idempotency effect) {
        return switch (effect) {
            case IDEMPOTENT -> strong;
            case IDEMPOTENT_WITH_KEY -> write;
            case NON_IDEMPOTENT -> nonIdempotentWrite;
        };
    }

    void updateEndpoint(Node node, Endpoint.State state, double startedAt) {
        policy.onEndpointList(List.of(new Endpoint(node, state, false, startedAt)), false, now);
    }

    void report(Node node, Role role, double position) {
        healthCheckResults.put(
                node, new AttemptResult(AttemptOutcome.ANSWERED, 0.001, Role.UNKNOWN, 0, role, position, -1));
        policy.onHealthCheck(node, healthCheckResults.get(node), now);
    }

    void reportAll(double position) {
        report(primary, Role.PRIMARY, position);
        report(replica, Role.REPLICA, position);
        report(otherReplica, Role.REPLICA, position);
    }

    Request request(RequestClass group, double wroteAt) {
        return new Request(group, 1, "s", wroteAt, now, now + group.clientTimeoutSeconds());
    }

    /** Asks where to send a command until it is not held for a probe any more; probes are answered. */
    Decision route(Request command) {
        Decision choice = policy.route(command, now);
        for (int i = 0; i < 9 && choice.action() == RoutingAction.WAIT; i++) {
            policy.tick(now)
                    .healthChecks()
                    .forEach(node -> policy.onHealthCheck(node, healthCheckResults.get(node), now));
            choice = policy.route(command, now);
        }
        return choice;
    }

    Attempt send(RequestClass group) {
        Decision choice = route(request(group, 0));
        assertEquals(RoutingAction.SEND, choice.action());
        choice.attempt().request.attempts.add(choice.attempt());
        return choice.attempt();
    }

    /** Sends until nothing goes out any more; returns how many went. */
    int sendUntilFull(RequestClass group) {
        int count = 0;
        while (policy.route(request(group, 0), now).action() == RoutingAction.SEND) {
            count++;
        }
        return count;
    }

    /** The nodes that so many commands, each answered before the next, would go to. */
    Set<Node> nodesChosenFor(RequestClass group, int commands) {
        var nodes = new HashSet<Node>();
        for (int i = 0; i < commands; i++) {
            Decision choice = policy.route(request(group, 0), now);
            if (choice.action() == RoutingAction.SEND) {
                nodes.add(choice.attempt().node);
            }
        }
        return nodes;
    }

    int countSentTo(Node node, RequestClass group, int commands) {
        int count = 0;
        for (int i = 0; i < commands; i++) {
            Decision choice = policy.route(request(group, 0), now);
            count += choice.action() == RoutingAction.SEND
                            && choice.attempt().node.equals(node)
                    ? 1
                    : 0;
        }
        return count;
    }

    Decision finish(Attempt dispatch, AttemptOutcome outcome, Role role, double position) {
        return policy.onAttemptFinished(
                dispatch,
                new AttemptResult(outcome, now - dispatch.sentAt, role, position, Role.UNKNOWN, 0, -1),
                outcome == AttemptOutcome.ANSWERED,
                now);
    }
}
