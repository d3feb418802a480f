package clayhook.clustertests;

import clayhook.Endpoint;
import clayhook.transport.Transport;
import clayhook.warmup.StubDiscovery;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.Predicate;

/**
 * A discovery service that answers the watches of routers at each change of the endpoint list. The number of answers
 * can be limited, so that only some routers, or none, are notified of a change.
 */
public final class DiscoveryServer {
    private final TestReplicaSet replicaSet;
    private final IntSupplier routers;
    private final StubDiscovery service;
    /**
     * Calls that wait for a newer version of the list; emptied by each change. Holds one call of each router, and a few
     * that routers abandoned.
     */
    private List<Predicate<String>> waiting = new ArrayList<>();
    /** Number of calls that will still be answered. */
    private int answers = Integer.MAX_VALUE;

    private int answered;

    /** {@code routers} returns the number of running routers; a change counts as notified after that many answers. */
    DiscoveryServer(Transport transport, TestReplicaSet replicaSet, IntSupplier routers) throws InterruptedException {
        this.replicaSet = replicaSet;
        this.routers = routers;
        service = new StubDiscovery(transport, transport.ephemeralAddress(0), this::called);
        replicaSet.setListChangeListener(this::changed);
    }

    InetSocketAddress address() {
        return service.address();
    }

    /** Limits the number of calls answered from now on; further calls stay open. */
    public synchronized void answers(int calls) {
        answers = calls;
        speak();
    }

    private synchronized void called(String call, Predicate<String> answer) {
        waiting.add(answer);
        if (!call.contains("after=" + replicaSet.version() + "&")) {
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
            } else if (answer.test(replicaSet.endpointListJson())) {
                answers--;
                answered++;
            }
        }
        if (answered >= routers.getAsInt()) {
            replicaSet.nodes()
                    .forEach(node -> replicaSet.history.onNotified(node.node, node.state() == Endpoint.State.DRAINING));
        }
    }
}
