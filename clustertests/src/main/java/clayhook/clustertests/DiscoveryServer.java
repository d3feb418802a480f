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
    private final IntSupplier routerCount;
    private final StubDiscovery service;
    /**
     * Calls that wait for a newer version of the list; emptied by each change. Holds one call of each router, and a few
     * that routers abandoned.
     */
    private List<Predicate<String>> waitingCalls = new ArrayList<>();
    /** Number of calls that will still be answered. */
    private int remainingAnswers = Integer.MAX_VALUE;

    /** Number of calls answered since the last change of the list. */
    private int answeredCalls;

    /**
     * {@code routerCount} returns the number of running routers; a change counts as notified after that many answers.
     */
    DiscoveryServer(Transport transport, TestReplicaSet replicaSet, IntSupplier routerCount)
            throws InterruptedException {
        this.replicaSet = replicaSet;
        this.routerCount = routerCount;
        service = new StubDiscovery(transport, transport.ephemeralAddress(0), this::onCall);
        replicaSet.setListChangeListener(this::onChange);
    }

    InetSocketAddress address() {
        return service.address();
    }

    /** Limits the number of calls answered from now on; further calls stay open. */
    public synchronized void setAnswerLimit(int limit) {
        remainingAnswers = limit;
        answerWaitingCalls();
    }

    private synchronized void onCall(String call, Predicate<String> answer) {
        waitingCalls.add(answer);
        if (!call.contains("after=" + replicaSet.version() + "&")) {
            answerWaitingCalls();
        }
    }

    private synchronized void onChange() {
        answeredCalls = 0;
        answerWaitingCalls();
    }

    private void answerWaitingCalls() {
        List<Predicate<String>> calls = waitingCalls;
        waitingCalls = new ArrayList<>();
        for (Predicate<String> answer : calls) {
            if (remainingAnswers == 0) {
                waitingCalls.add(answer);
            } else if (answer.test(replicaSet.endpointListJson())) {
                remainingAnswers--;
                answeredCalls++;
            }
        }
        if (answeredCalls >= routerCount.getAsInt()) {
            replicaSet
                    .nodes()
                    .forEach(node -> replicaSet.history.onNotified(node.node, node.state() == Endpoint.State.DRAINING));
        }
    }
}
