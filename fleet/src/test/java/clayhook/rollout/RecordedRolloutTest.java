package clayhook.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.FieldWriter;
import clayhook.fleet.Message;
import clayhook.fleet.ReplicatedType;
import clayhook.rollout.RolloutEvent.EventType;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Compares all messages and replicated values of complete rollouts with bytes recorded from an earlier release. A
 * failure means that the wire format or the sequence of steps of a rollout has changed.
 */
class RecordedRolloutTest {
    /** A rollout of three routers that is completed and then withdrawn. */
    @Test
    void completedRolloutMatchesRecordedBytes() throws IOException {
        assertEquals(recordedRollout("completed"), runRollout(0, EventType.COMPLETED));
    }

    /** A rollout of three routers that its counters halt. */
    @Test
    void haltedRolloutMatchesRecordedBytes() throws IOException {
        assertEquals(recordedRollout("halted"), runRollout(0.2, EventType.HALTED));
    }

    private static List<String> recordedRollout(String name) throws IOException {
        try (InputStream in = RecordedRolloutTest.class.getResourceAsStream("recorded-rollout-" + name + ".txt")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    /**
     * Runs a rollout until the third router has the event {@code last}. Returns the messages in the order of sending,
     * then that router's replicated values, then the messages and progress after a withdrawal.
     */
    private static List<String> runRollout(double failureShare, EventType last) {
        var lines = new ArrayList<String>();
        var cluster = new RolloutCluster(3);
        cluster.run(5);
        assertEquals(
                List.of(),
                cluster.nodes[0].controller.propose(RolloutCluster.plan(1, 5), "[statements]\n", cluster.now));
        for (int i = 0; i < 80 && !cluster.nodes[2].hasEvent(last); i++) {
            cluster.serveRequests(40, failureShare);
            stepAndRecord(cluster, lines);
        }
        assertTrue(cluster.nodes[2].hasEvent(last));
        appendEntries(cluster.nodes[2], lines);
        cluster.nodes[1].controller.withdraw(cluster.now);
        stepAndRecord(cluster, lines);
        cluster.nodes[2].store.forEach(
                RolloutProgress.TYPE, (key, progress) -> appendEntry(RolloutProgress.TYPE, key, progress, lines));
        return lines;
    }

    /** Does the same as {@link RolloutCluster#step()} and adds each message to {@code lines}. */
    private static void stepAndRecord(RolloutCluster cluster, List<String> lines) {
        cluster.now += 0.25;
        for (int i = 0; i < cluster.nodes.length; i++) {
            cluster.tick(i);
        }
        for (int i = 0; i < cluster.nodes.length; i++) {
            for (int j = 0; j < cluster.nodes.length; j++) {
                cluster.exchange(i, j);
                while (!cluster.links.get(i).get(j).isEmpty()) {
                    Message message = cluster.links.get(i).get(j).peekFirst().message();
                    var out = new FieldWriter();
                    message.write(out);
                    lines.add(i + " to " + j + ": " + message.typeNumber() + " " + hex(out.toByteArray()));
                    cluster.deliver(i, j);
                }
            }
        }
    }

    private static void appendEntries(RolloutNode node, List<String> lines) {
        for (ReplicatedType<?> type : RolloutController.replicatedTypes()) {
            appendEntries(node, type, lines);
        }
    }

    private static <V> void appendEntries(RolloutNode node, ReplicatedType<V> type, List<String> lines) {
        node.store.forEach(type, (key, value) -> appendEntry(type, key, value, lines));
    }

    private static <V> void appendEntry(ReplicatedType<V> type, String key, V value, List<String> lines) {
        var out = new FieldWriter();
        type.write(value, out);
        lines.add("kind " + type.typeNumber() + ": " + key + " " + hex(out.toByteArray()));
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }
}
