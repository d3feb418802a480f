package clayhook.trials;

import clayhook.Listing;
import clayhook.rehearsal.StandInDiscovery;
import clayhook.transport.Transport;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Discovery as one router sees it: tells it each change of the list, or has fallen silent towards that router. */
public final class Directory {
    private final Cluster cluster;
    private final String router;
    private final StandInDiscovery service;
    /** Calls that wait for something newer than they know; emptied by each change. One a router, and a few it gave up. */
    private List<Predicate<String>> waiting = new ArrayList<>();
    private boolean silent;

    Directory(Transport transport, Cluster cluster, String router) throws InterruptedException {
        this.cluster = cluster;
        this.router = router;
        service = new StandInDiscovery(transport, transport.spare(0), this::called);
        cluster.watch(this::changed);
    }

    InetSocketAddress address() {
        return service.address();
    }

    /** Silent: calls go unanswered until it speaks again. */
    public synchronized void silent(boolean next) {
        silent = next;
        changed();
    }

    private synchronized void called(String call, Predicate<String> answer) {
        if (silent || call.contains("after=" + cluster.version() + "&")) {
            waiting.add(answer);
        } else {
            tell(answer);
        }
    }

    private synchronized void changed() {
        if (!silent) {
            List<Predicate<String>> all = waiting;
            waiting = new ArrayList<>();
            all.forEach(this::tell);
        }
    }

    private void tell(Predicate<String> answer) {
        if (answer.test(cluster.list())) {
            cluster.nodes().forEach(node -> cluster.witness.told(router, node.node, node.state() == Listing.State.DRAINING));
        }
    }
}
