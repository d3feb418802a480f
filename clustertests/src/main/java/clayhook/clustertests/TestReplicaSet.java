package clayhook.clustertests;

import clayhook.Endpoint;
import clayhook.Node;
import clayhook.RequestClass;
import clayhook.RequestClass.Idempotency;
import clayhook.RoutingSettings;
import clayhook.transport.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * One group of nodes that hold the same data: who is primary, what was written, and what the list of nodes says of it.
 */
public final class TestReplicaSet {
    /** From a commit until replicas hold it, in seconds. */
    static final double LAG = 0.02;

    final HistoryRecorder history;
    private final List<ClusterNode> nodes = new ArrayList<>();
    final RoutingSettings settings;
    private final Map<String, RequestClass> groups;
    /** Positions of writes by their key, whose repeats are dropped; a trial writes some thousand. */
    private final Map<String, Double> written = new HashMap<>();

    private volatile Runnable watcher = () -> {};
    /** Hear of each statement that a router sent to a node. */
    private final List<Consumer<NodeRequest>> requestListeners = new CopyOnWriteArrayList<>();
    /** From so long after the list says that they drain, nodes reject statements; infinite for never. */
    private volatile double drainLeadSeconds = Double.POSITIVE_INFINITY;

    private ClusterNode primary;
    private double head;
    private int version = 1;

    /** The first node is primary. All listen on one loop. */
    TestReplicaSet(Transport transport, int size, List<String> zones, RoutingSettings settings, HistoryRecorder history)
            throws InterruptedException {
        this.history = history;
        this.settings = settings;
        groups = settings.requestClasses().stream().collect(Collectors.toMap(RequestClass::name, group -> group));
        for (int i = 0; i < size; i++) {
            nodes.add(new ClusterNode(this, new Node("n" + i, zones.get(i % zones.size()), 1), transport));
        }
        primary = nodes.get(0);
    }

    public List<ClusterNode> nodes() {
        return nodes;
    }

    public synchronized ClusterNode primary() {
        return primary;
    }

    /** Another node takes over at once; the old one refuses writes from then on. */
    public void promote(ClusterNode next) {
        synchronized (this) {
            primary = next;
        }
        listChanged();
    }

    /** From now on the history judges what nodes in slow start get, whichever routers know of their start. */
    void recordSlowStartWork() {
        onRequests(request -> nodes.stream()
                .filter(each -> each.node().equals(request.node()))
                .forEach(ClusterNode::recordSlowStartWork));
    }

    /** Null for one that is not known. */
    RequestClass group(String name) {
        return groups.get(name);
    }

    /** A write: its position, the same again for a repeat of a key, which changes nothing. */
    synchronized double write(RequestClass group, String key) {
        Double before = group.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY ? written.get(key) : null;
        if (before == null) {
            head = Math.max(Math.nextUp(head), HistoryRecorder.now());
            written.put(key, head);
            return head;
        }
        return before;
    }

    /** Reports each statement from now on, on the event loop of the nodes. */
    void onRequests(Consumer<NodeRequest> listener) {
        requestListeners.add(listener);
    }

    void requestArrived(NodeRequest request) {
        history.arrived(request.router(), request.node());
        requestListeners.forEach(listener -> listener.accept(request));
    }

    /** Lets draining nodes reject statements, from so many seconds after the list says that they drain. */
    void rejectWhileDraining(double leadSeconds) {
        drainLeadSeconds = leadSeconds;
    }

    double drainLeadSeconds() {
        return drainLeadSeconds;
    }

    // ---- the list ----

    /** Hears of each change of the list, on the thread that makes it. */
    void watch(Runnable hears) {
        watcher = hears;
    }

    void listChanged() {
        synchronized (this) {
            version++;
        }
        watcher.run();
    }

    synchronized int version() {
        return version;
    }

    /** As discovery tells it. */
    synchronized String list() {
        return "{\"rev\":" + version + ",\"all\":true,\"targets\":["
                + nodes.stream().map(this::entry).collect(Collectors.joining(",")) + "]}";
    }

    private String entry(ClusterNode node) {
        return "{\"uid\":\"" + node.node.id() + "\",\"endpoint\":\"127.0.0.1:" + node.port() + "\",\"az\":\""
                + node.node.zone()
                + "\",\"pod_group\":" + node.node.replicaSetId() + ",\"state\":\""
                + (node.state() == Endpoint.State.DRAINING
                        ? "draining"
                        : node.state() == Endpoint.State.GONE ? "removed" : "up")
                + "\",\"role\":\"" + (node == primary ? "primary" : "replica") + "\",\"boot_ms\":"
                + (long) (node.startedAt() * 1000) + "}";
    }
}
