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

/** A simulated replica set: its nodes, its primary, its committed writes and its endpoint list. */
public final class TestReplicaSet {
    /** Time from a commit until replicas have applied it, in seconds. */
    static final double REPLICATION_LAG_SECONDS = 0.02;

    final HistoryRecorder history;
    private final List<ClusterNode> nodes = new ArrayList<>();
    final RoutingSettings settings;
    private final Map<String, RequestClass> requestClasses;
    /** Positions of writes by idempotency key, for deduplication; a test run writes a few thousand. */
    private final Map<String, Double> writePositions = new HashMap<>();

    private volatile Runnable listChangeListener = () -> {};
    /** Receive each statement that a node has read. */
    private final List<Consumer<NodeRequest>> requestListeners = new CopyOnWriteArrayList<>();
    /** Seconds after the list shows them as draining until nodes reject statements; infinite for never. */
    private volatile double drainLeadSeconds = Double.POSITIVE_INFINITY;

    private ClusterNode primary;
    private double lastPosition;
    private int version = 1;

    /** Starts the nodes on one event loop; the first is the primary. */
    TestReplicaSet(Transport transport, int size, List<String> zones, RoutingSettings settings, HistoryRecorder history)
            throws InterruptedException {
        this.history = history;
        this.settings = settings;
        requestClasses = settings.requestClasses().stream()
                .collect(Collectors.toMap(RequestClass::name, requestClass -> requestClass));
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

    /** Makes another node the primary at once; the previous one rejects writes from then on. */
    public void promote(ClusterNode next) {
        synchronized (this) {
            primary = next;
        }
        publishList();
    }

    /**
     * Records the work of nodes in slow start in the history from now on, whichever routers are notified of their
     * start.
     */
    void recordSlowStartWork() {
        addRequestListener(request -> nodes.stream()
                .filter(each -> each.node().equals(request.node()))
                .forEach(ClusterNode::recordSlowStartWork));
    }

    /** The request class with that name, or null if there is none. */
    RequestClass requestClass(String name) {
        return requestClasses.get(name);
    }

    /**
     * Commits a write and returns its position; a write with a known key has no effect and returns its first position.
     */
    synchronized double commitWrite(RequestClass requestClass, String key) {
        Double knownPosition =
                requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY ? writePositions.get(key) : null;
        if (knownPosition == null) {
            lastPosition = Math.max(Math.nextUp(lastPosition), HistoryRecorder.now());
            writePositions.put(key, lastPosition);
            return lastPosition;
        }
        return knownPosition;
    }

    /** Adds a listener for each statement that a node reads, called on the event loop of the nodes. */
    void addRequestListener(Consumer<NodeRequest> listener) {
        requestListeners.add(listener);
    }

    void onRequest(NodeRequest request) {
        history.onRequest(request.router(), request.node());
        requestListeners.forEach(listener -> listener.accept(request));
    }

    /** Makes draining nodes reject statements that number of seconds after the list shows them as draining. */
    void rejectWhileDraining(double leadSeconds) {
        drainLeadSeconds = leadSeconds;
    }

    double drainLeadSeconds() {
        return drainLeadSeconds;
    }

    // ---- the endpoint list ----

    /** Sets the listener for changes of the endpoint list, called on the thread that makes the change. */
    void setListChangeListener(Runnable listener) {
        listChangeListener = listener;
    }

    void publishList() {
        synchronized (this) {
            version++;
        }
        listChangeListener.run();
    }

    synchronized int version() {
        return version;
    }

    /** The endpoint list in the JSON format of discovery. */
    synchronized String endpointListJson() {
        return "{\"rev\":" + version + ",\"all\":true,\"targets\":["
                + nodes.stream().map(this::endpointJson).collect(Collectors.joining(",")) + "]}";
    }

    private String endpointJson(ClusterNode node) {
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
