package clayhook.clustertests;

import clayhook.Endpoint;
import clayhook.transport.Transport;
import clayhook.warmup.StubDiscovery;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

/** Discovery: tells routers each change of the list; or has fallen silent, or speaks to a few only. */
public final class DiscoveryServer {
    private final TestReplicaSet cluster;
    private final IntSupplier routers;
    private final StubDiscovery service;
    /**
     * Calls that wait for something newer than they know; emptied by each change. One a router, and a few it gave up.
     */
    private List<Predicate<String>> waiting = new ArrayList<>();
    /** Calls that will be answered. */
    private int answers = Integer.MAX_VALUE;

    private int answered;

    /** {@code routers} says how many are there to be told. */
    DiscoveryServer(Transport transport, TestReplicaSet cluster, IntSupplier routers) throws InterruptedException {
        this.cluster = cluster;
        this.routers = routers;
        service = new StubDiscovery(transport, transport.ephemeralAddress(0), this::called);
        cluster.watch(this::changed);
    }

    InetSocketAddress address() {
        return service.address();
    }

    /** From now on it answers so many calls and leaves all further ones waiting. */
    public synchronized void answers(int calls) {
        answers = calls;
        speak();
    }

    private synchronized void called(String call, Predicate<String> answer) {
        waiting.add(answer);
        if (!call.contains("after=" + cluster.version() + "&")) {
            speak();
        }
    }

    private synchronized void changed() {
        answered = 0;
        speak();
    }

    private void speak() {
        List<Predicate<String>> all = waiting;
        waiting = new ArrayList<>();
        for (Predicate<String> answer : all) {
            if (answers == 0) {
                waiting.add(answer);
            } else if (answer.test(cluster.list())) {
                answers--;
                answered++;
            }
        }
        if (answered >= routers.getAsInt()) {
            cluster.nodes()
                    .forEach(node -> cluster.history.notified(node.node, node.state() == Endpoint.State.DRAINING));
        }
    }
}
