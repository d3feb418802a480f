package clayhook.peers;

import clayhook.Endpoint;
import clayhook.discovery.EndpointList;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.types.EndpointListMerge;
import clayhook.fleet.types.ListedEndpoint;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Publishes the endpoint lists that this router receives from discovery, and delivers changes that peers received to
 * the event loop. Confined to the gossip thread.
 */
final class EndpointListSharing {
    /**
     * The length in characters of the longest node id that is published. A longer id would be truncated in the key, so
     * that peers could not identify the node.
     */
    private static final int MAX_ID_LENGTH = 100;

    private final EndpointListMerge listMerge;
    /** Changes for the event loop by node id; each value is a list of that one endpoint. */
    private final ConflatingQueue<String, EndpointList> toEventLoop;

    private long rejectedValues;

    /** {@code source}: host and port of this router's discovery service. */
    EndpointListSharing(
            String source, ReplicatedStore store, Executor eventLoop, Consumer<Collection<EndpointList>> listener) {
        toEventLoop = new ConflatingQueue<>(eventLoop, changes -> listener.accept(changes.values()));
        listMerge = new EndpointListMerge(source, store);
    }

    /** Publishes a list that the discovery service at {@code source} has sent, and delivers the resulting changes. */
    void onEndpointList(String source, EndpointList list, double now) {
        var updates = new ArrayList<EndpointListMerge.EndpointUpdate>();
        boolean allValid = true;
        for (EndpointList.DiscoveredEndpoint endpoint : list.endpoints()) {
            try {
                updates.add(toUpdate(endpoint, list.version(), now));
            } catch (IllegalArgumentException e) {
                allValid = false;
                rejectedValues++;
            }
        }
        // A node that is absent from a complete list is considered gone, so a list without a rejected endpoint must not
        // be published as complete.
        listMerge.onDiscoveryUpdate(source, list.version(), list.complete() && allValid, updates, now);
        Set<String> listed =
                updates.stream().map(EndpointListMerge.EndpointUpdate::id).collect(Collectors.toSet());
        // The event loop has already received everything in this list from discovery, so it is not delivered again.
        listMerge.takeChanges().stream()
                .filter(change -> change.endpoint().revision() != list.version()
                        || !(list.complete() || listed.contains(change.id())))
                .forEach(this::deliver);
    }

    private static EndpointListMerge.EndpointUpdate toUpdate(
            EndpointList.DiscoveredEndpoint endpoint, long revision, double now) {
        if (endpoint.id().length() > MAX_ID_LENGTH) {
            throw new IllegalArgumentException("node id of more than " + MAX_ID_LENGTH + " characters");
        }
        return new EndpointListMerge.EndpointUpdate(
                endpoint.id(),
                new ListedEndpoint(
                        revision,
                        ListedEndpoint.EndpointState.valueOf(endpoint.state().name()),
                        endpoint.startedAt(),
                        endpoint.primary(),
                        endpoint.zone(),
                        endpoint.replicaSetId(),
                        endpoint.address().getAddress().getHostAddress(),
                        endpoint.address().getPort(),
                        now));
    }

    /** Handles a change of this router's discovery service to the one at {@code source}. */
    void onDiscoveryMoved(String source) {
        listMerge.onSourceChanged(source);
    }

    /** Republishes entries that are about to expire. */
    void renew(double now) {
        listMerge.renew(now);
    }

    void deliverChanges() {
        listMerge.takeChanges().forEach(this::deliver);
    }

    private void deliver(EndpointListMerge.EndpointUpdate change) {
        ListedEndpoint endpoint = change.endpoint();
        InetSocketAddress address = EndpointList.parseAddress(endpoint.host() + ":" + endpoint.port());
        if (address == null || endpoint.zone().isEmpty()) {
            rejectedValues++;
            return;
        }
        var discovered = new EndpointList.DiscoveredEndpoint(
                change.id(),
                address,
                endpoint.zone(),
                endpoint.replicaSet(),
                Endpoint.State.valueOf(endpoint.state().name()),
                endpoint.primary(),
                endpoint.incarnationStartedAt());
        toEventLoop.put(change.id(), new EndpointList(endpoint.revision(), false, List.of(discovered)));
    }

    /** The number of revisions that peers have received from discovery and this router's own watch has not. */
    long revisionsBehind() {
        return listMerge.revisionsBehind();
    }

    /** The number of endpoints, own and from peers, that were invalid and have been dropped since the start. */
    long rejectedValues() {
        return rejectedValues;
    }
}
