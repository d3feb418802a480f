package clayhook.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Endpoint;
import clayhook.Node;
import clayhook.PeerObservation;
import clayhook.Role;
import clayhook.discovery.EndpointList;
import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.MessageDispatcher;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import clayhook.fleet.ProtocolHandler;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.members.Membership;
import clayhook.fleet.members.MembershipListener;
import clayhook.fleet.members.MembershipSettings;
import clayhook.fleet.state.ReplicatedState;
import clayhook.fleet.state.StateSettings;
import clayhook.fleet.types.WriteOutcome;
import clayhook.sharing.PeerSharing;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Runs a fixed exchange between two routers in virtual time and compares every datagram, in both directions, with
 * recorded bytes. Each router receives the recorded bytes instead of the encoded ones, so that the test covers the
 * decoder as well as the encoder. The exchange contains everything that {@link StateBridge} sends: every type of local
 * event at least once, and the leave announcement.
 */
class RecordedDatagramsTest {
    /** The resource with one datagram per line, in order of sending: the sender's name and the bytes in hex. */
    private static final String DATAGRAMS = "recorded-datagrams.txt";

    private static final HexFormat HEX = HexFormat.of();
    private static final double START = 1.7e9;
    private static final int STEPS_PER_SECOND = 100;
    private static final double END = 3;
    private static final String DISCOVERY = "10.0.0.8:8080";
    private static final Node PRIMARY = new Node("n1", "zone-a", 1);
    private static final Node REPLICA = new Node("n2", "zone-b", 1);
    private static final EndpointList FIRST_LIST = endpointList(7, true, "up", "up");
    private static final double POSITION = START - 5;
    private static final ReplicatedType<WriteOutcome> WRITE_OUTCOMES = WriteOutcome.typeWithRetention(86_400);

    private final List<String> recorded = readRecordedDatagrams();
    private final List<String> sent = new ArrayList<>();
    private final Queue<Runnable> deliveries = new ArrayDeque<>();
    private final Map<Address, Router> routers = new HashMap<>();

    private static List<String> readRecordedDatagrams() {
        try (InputStream in = RecordedDatagramsTest.class.getResourceAsStream(DATAGRAMS)) {
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII)
                    .lines()
                    .toList();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static EndpointList endpointList(
            long revision, boolean complete, String primaryState, String replicaState) {
        return EndpointList.parse("{\"rev\":" + revision + ",\"all\":" + complete + ",\"targets\":["
                + "{\"uid\":\"n1\",\"endpoint\":\"10.0.1.1:5432\",\"az\":\"zone-a\",\"pod_group\":1,\"state\":\""
                + primaryState
                + "\",\"role\":\"primary\",\"boot_ms\":1600000000000},"
                + "{\"uid\":\"n2\",\"endpoint\":\"10.0.1.2:5432\",\"az\":\"zone-b\",\"pod_group\":1,\"state\":\""
                + replicaState
                + "\",\"role\":\"replica\",\"boot_ms\":1600000000000}]}");
    }

    /** A router with the components that {@link GossipTransport} builds, without its socket, thread and clock. */
    private final class Router implements PeerSharing.PeerListener, ProtocolHandler {
        private final Peer self;
        private final Membership membership;
        private final ReplicatedState state;
        private final StateBridge bridge;
        private final MessageDispatcher dispatcher;
        private final Map<String, PeerObservation> observations = new HashMap<>();
        private final Map<String, EndpointList.DiscoveredEndpoint> endpoints = new HashMap<>();
        private boolean leaving;

        private Router(String name, int port, List<Address> seeds, long seed) {
            self = new Peer(new Member(name, (long) (START * 1000) + port), new Address("10.0.0.1", port));
            var random = new SplittableRandom(seed);
            membership = new Membership(
                    MembershipSettings.DEFAULT, self, seeds, random.nextLong(), START, new MembershipListener() {});
            var enabledTypes = new StateBridge.EnabledTypes(true, true, true, WRITE_OUTCOMES, true);
            state = new ReplicatedState(
                    membership,
                    enabledTypes.types(),
                    StateSettings.DEFAULT.withBootstrapTimeout(0.2),
                    random.nextLong(),
                    START);
            bridge = new StateBridge(
                    enabledTypes, 0.5, 2, DISCOVERY, state, membership, random.split(), Runnable::run, this);
            bridge.updateKnownNodes(FIRST_LIST);
            dispatcher = new MessageDispatcher(self.member(), List.of(membership, this, bridge, state), this::send);
            routers.put(self.address(), this);
        }

        private void send(Address to, byte[] bytes) {
            String line = self.member().name() + " " + HEX.formatHex(bytes);
            sent.add(line);
            assertTrue(sent.size() <= recorded.size(), () -> "not recorded: " + line);
            String expected = recorded.get(sent.size() - 1);
            assertEquals(expected, line, () -> "datagram " + sent.size());
            byte[] datagram = HEX.parseHex(expected.substring(expected.indexOf(' ') + 1));
            deliveries.add(() -> {
                if (routers.containsKey(to)) {
                    routers.get(to).dispatcher.onDatagram(self.address(), datagram, now);
                }
            });
        }

        @Override
        public void onPeerUpdate(Map<String, PeerObservation> nodes) {
            observations.putAll(nodes);
        }

        @Override
        public void onPeerUpdate(Collection<EndpointList> changes) {
            changes.forEach(change -> change.endpoints().forEach(entry -> endpoints.put(entry.id(), entry)));
        }

        @Override
        public double tick(double now, Outbox out) {
            if (leaving) {
                leaving = false;
                bridge.publishOnNextTick();
                membership.leave(now, out);
            }
            return Double.POSITIVE_INFINITY;
        }
    }

    private double now = START;

    private void runUntil(double seconds, Router... tickedRouters) {
        for (int step = (int) Math.round((now - START) * STEPS_PER_SECOND); step < seconds * STEPS_PER_SECOND; step++) {
            now = START + (double) step / STEPS_PER_SECOND;
            for (Router router : tickedRouters) {
                router.dispatcher.tick(now);
            }
            for (int pending = deliveries.size(); pending > 0; pending--) {
                deliveries.remove().run();
            }
        }
        now = START + seconds;
    }

    private static AttemptResult answer(Role role, double position, double load) {
        return new AttemptResult(AttemptOutcome.ANSWERED, 0.002, role, position, role, position - 0.25, load);
    }

    private static LocalEvent.WriteFinished writeFinished(String writeKey, boolean executed, double now) {
        return new LocalEvent.WriteFinished(writeKey, now - 0.5, 1, "post", executed, executed ? "n1" : "", now);
    }

    @Test
    void bothRoutersSendAndDecodeTheRecordedDatagrams() {
        var sender = new Router("sender", 7401, List.of(), 1);
        var receiver = new Router("receiver", 7402, List.of(sender.self.address()), 2);
        runUntil(1, sender, receiver);

        sender.bridge.accept(new LocalEvent.EndpointListReceived(DISCOVERY, FIRST_LIST), now);
        sender.bridge.accept(new LocalEvent.AttemptFinished(PRIMARY, answer(Role.PRIMARY, now - 0.01, 3), now), now);
        sender.bridge.accept(
                new LocalEvent.AttemptFinished(
                        REPLICA, AttemptResult.withoutReport(AttemptOutcome.TIMED_OUT, 0.5), now),
                now);
        sender.bridge.accept(new LocalEvent.SessionWriteCommitted("session", 1, POSITION), now);
        sender.bridge.accept(writeFinished("in doubt", false, now), now);
        sender.bridge.accept(writeFinished("resolved", false, now), now);
        sender.bridge.accept(new LocalEvent.QuotaUsed(PeerSharing.SharedQuota.FURTHER_ATTEMPTS, 2), now);
        sender.bridge.accept(new LocalEvent.QuotaUsed(PeerSharing.SharedQuota.HEALTH_CHECKS, 3.5), now);
        runUntil(2, sender, receiver);
        assertEquals(1, receiver.observations.get("n2").failedRouterCount());
        double granted = receiver.bridge.remainingQuota(PeerSharing.SharedQuota.FURTHER_ATTEMPTS);

        sender.bridge.accept(
                new LocalEvent.EndpointListReceived(DISCOVERY, endpointList(8, false, "up", "draining")), now);
        sender.bridge.accept(new LocalEvent.AttemptFinished(REPLICA, answer(Role.REPLICA, now - 1, 0), now), now);
        sender.bridge.accept(writeFinished("resolved", true, now), now);
        sender.bridge.accept(writeFinished("only here", true, now), now);
        runUntil(2.5, sender, receiver);

        sender.bridge.accept(new LocalEvent.DiscoveryMoved("10.0.0.9:8080"), now);
        sender.bridge.accept(
                new LocalEvent.EndpointListReceived("10.0.0.9:8080", endpointList(3, true, "up", "removed")), now);
        runUntil(END - 0.2, sender, receiver);
        sender.leaving = true;
        runUntil(END, sender, receiver);

        assertEquals(recorded, sent);
        PeerObservation primary = receiver.observations.get("n1");
        assertEquals(
                List.of(START + 0.99, 3.0, 1.6e9),
                List.of(primary.appliedPosition(), primary.load(), primary.incarnationStartedAt()));
        assertTrue(primary.primaryClaimedAt() > primary.replicaClaimedAt());
        PeerObservation replica = receiver.observations.get("n2");
        assertEquals(List.of(START + 1, 1.6e9), List.of(replica.appliedPosition(), replica.incarnationStartedAt()));
        assertEquals(Endpoint.State.DRAINING, receiver.endpoints.get("n2").state());
        assertEquals(POSITION, receiver.bridge.requiredPosition("session", now));
        assertEquals(
                List.of(WriteOutcome.OutcomeStatus.UNKNOWN, WriteOutcome.OutcomeStatus.RAN),
                List.of(status(receiver, "in doubt"), status(receiver, "resolved")));
        assertEquals(45, granted);
        assertEquals(List.of(), receiver.membership.livePeers());
    }

    private static WriteOutcome.OutcomeStatus status(Router router, String writeKey) {
        return router.state.get(WRITE_OUTCOMES, WriteOutcome.key(writeKey)).status();
    }
}
