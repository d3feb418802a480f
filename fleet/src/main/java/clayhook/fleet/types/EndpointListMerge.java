package clayhook.fleet.types;

import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.types.ListedEndpoint.EndpointState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Merges the endpoint list from this router's own discovery with the lists that other routers have received.
 *
 * <p>For each node, the newest update of the current discovery source wins. Updates of other sources are ignored,
 * except for drains: a drain that was in effect when the source changed, or that concerns a node that the current
 * source has not listed, holds until the current source sends a newer update of the node or its complete list.
 * Revisions of two sources cannot be compared, and a source that was replaced because it is wrong must not be able to
 * close all nodes.
 *
 * <p>Not thread-safe. Times are in seconds since 1970 on this router's clock.
 */
public final class EndpointListMerge {
    /**
     * The entry of one node in the endpoint list.
     *
     * @param id the node's id, truncated as in the keys of {@link ListedEndpoint}
     * @param endpoint the node's state and address
     */
    public record EndpointUpdate(String id, ListedEndpoint endpoint) {}

    /**
     * Bound of the sources that are kept. The source rarely changes; beyond the bound, the least recently used one is
     * dropped.
     */
    private static final int MAX_SOURCES = 4;

    /** Less than any revision. */
    private static final long NO_REVISION = -1;
    /** Number of checks for entries due for renewal within one retention period. */
    private static final int RENEWAL_CHECKS_PER_RETENTION = 8;
    /** Divisor of the retention that gives the age at which an entry is renewed. */
    private static final int RENEWAL_AGE_DIVISOR = 2;

    /** The endpoints and revisions that were received from one discovery source. */
    private static final class DiscoverySource {
        /** Endpoints by node id. At the bound of nodes in a list, those that are gone are removed. */
        final Map<String, ListedEndpoint> endpoints = new HashMap<>();
        /** The newest revision that any router has received. */
        long newestRevision = NO_REVISION;
        /** The newest revision that this router has received. */
        long ownRevision = NO_REVISION;
        /** The newest revision that this router has received as a complete list. */
        long completeRevision = NO_REVISION;
    }

    /**
     * A drain reported by another source than the current one.
     *
     * @param heldAtRevision the current source's revision of the node when the drain was recorded; a newer revision
     *     ends the drain
     */
    private record HeldDrain(ListedEndpoint endpoint, long heldAtRevision) {}

    private final ReplicatedStore store;
    /**
     * Sources by key in access order, so that the least recently used one is dropped first. The current source is never
     * dropped.
     */
    private final Map<String, DiscoverySource> sources = new LinkedHashMap<>(16, 0.75f, true);

    /** Drains that override the current source, by node id. */
    private final Map<String, HeldDrain> heldDrains = new HashMap<>();
    /** The effective endpoint of each node, by node id: the result of merging all sources. */
    private final Map<String, ListedEndpoint> effective = new HashMap<>();
    /** Effective endpoints that have changed since the last {@link #takeChanges()}, by node id. */
    private final Map<String, ListedEndpoint> changedEndpoints = new LinkedHashMap<>();

    private String currentSource;
    private double lastRenewalCheckAt = Double.NEGATIVE_INFINITY;
    private long staleUpdates;

    /**
     * Loads the endpoints that the store holds, and subscribes to its changes.
     *
     * @param source the current discovery source, as host and port
     */
    public EndpointListMerge(String source, ReplicatedStore store) {
        this.store = store;
        currentSource = truncateSource(source);
        findOrAddSource(currentSource);
        store.forEach(ListedEndpoint.TYPE, this::onReplicatedUpdate);
        store.addListener(ListedEndpoint.TYPE, (key, endpoint, now) -> onReplicatedUpdate(key, endpoint));
    }

    private static String truncateSource(String source) {
        return ListedEndpoint.parseKey(ListedEndpoint.key(source, "")).get(0);
    }

    private static String truncateId(String id) {
        return ListedEndpoint.parseKey(ListedEndpoint.key("", id)).get(1);
    }

    private DiscoverySource findOrAddSource(String name) {
        DiscoverySource source = sources.computeIfAbsent(name, any -> new DiscoverySource());
        Iterator<String> oldestFirst = sources.keySet().iterator();
        while (sources.size() > MAX_SOURCES) {
            String oldest = oldestFirst.next();
            if (!oldest.equals(currentSource) && !oldest.equals(name)) {
                oldestFirst.remove();
            }
        }
        return source;
    }

    private void onReplicatedUpdate(String key, ListedEndpoint endpoint) {
        List<String> parts = ListedEndpoint.parseKey(key);
        if (parts.size() == 2) {
            apply(parts.get(0), parts.get(1), endpoint);
        }
    }

    private void apply(String sourceName, String id, ListedEndpoint update) {
        DiscoverySource source = findOrAddSource(sourceName);
        source.newestRevision = Math.max(source.newestRevision, update.revision());
        if (id.isEmpty()) {
            return; // the entry only carries the revision
        }
        ListedEndpoint known = source.endpoints.get(id);
        boolean missingFromNewerList = known == null && update.revision() <= source.completeRevision;
        if (missingFromNewerList || (known == null && !makeRoom(source))) {
            staleUpdates++;
            return;
        }
        ListedEndpoint merged = known == null ? update : ListedEndpoint.TYPE.merge(known, update);
        if (merged.revision() > update.revision()) {
            staleUpdates++;
        }
        source.endpoints.put(id, merged);
        boolean otherSource = !sourceName.equals(currentSource);
        if (merged.isClosed()
                && otherSource
                && !sources.get(currentSource).endpoints.containsKey(id)) {
            holdDrain(id, merged);
        }
        updateEffectiveEndpoint(id);
    }

    /**
     * Returns whether another node can be added to a source. At the bound, nodes that are gone are removed, as they
     * receive no requests; if there are none, a new node is not added.
     */
    private boolean makeRoom(DiscoverySource source) {
        if (source.endpoints.size() < NodeObservation.TYPE.maxEntries()) {
            return true;
        }
        effective.values().removeIf(endpoint -> endpoint.state() == EndpointState.GONE);
        return source.endpoints.values().removeIf(endpoint -> endpoint.state() == EndpointState.GONE);
    }

    /**
     * Retains a drain until the current source has a newer revision of the node than it has now. Of two drains of a
     * node, the one with the more closed state is retained.
     */
    private void holdDrain(String id, ListedEndpoint drain) {
        ListedEndpoint current = sources.get(currentSource).endpoints.get(id);
        var added = new HeldDrain(drain, current == null ? NO_REVISION : current.revision());
        heldDrains.merge(id, added, EndpointListMerge::moreClosed);
    }

    private static HeldDrain moreClosed(HeldDrain held, HeldDrain added) {
        boolean addedIsMoreClosed = added.endpoint.state().compareTo(held.endpoint.state()) > 0;
        return new HeldDrain(addedIsMoreClosed ? added.endpoint : held.endpoint, added.heldAtRevision);
    }

    /** Computes the effective endpoint of a node, and records it if it has changed. */
    private void updateEffectiveEndpoint(String id) {
        ListedEndpoint endpoint = sources.get(currentSource).endpoints.get(id);
        HeldDrain drain = heldDrains.get(id);
        if (drain != null && (endpoint == null || endpoint.revision() <= drain.heldAtRevision)) {
            endpoint = drain.endpoint;
        } else {
            heldDrains.remove(id);
        }
        if (endpoint != null && !endpoint.equalsIgnoringRevision(effective.put(id, endpoint))) {
            changedEndpoints.put(id, endpoint);
        }
    }

    /**
     * Applies an update that this router's own discovery has received, and shares it with the other routers. Late and
     * repeated updates have no effect.
     *
     * @param sourceAddress the host and port of the source, which may be a former one
     * @param revision the source's revision of the update
     * @param complete whether the updates are the complete list; nodes missing from a complete list are gone
     * @param updates entries of that revision
     */
    public void onDiscoveryUpdate(
            String sourceAddress, long revision, boolean complete, List<EndpointUpdate> updates, double now) {
        String name = truncateSource(sourceAddress);
        DiscoverySource source = findOrAddSource(name);
        source.ownRevision = Math.max(source.ownRevision, revision);
        var endpoints = new LinkedHashMap<String, ListedEndpoint>();
        updates.forEach(update -> endpoints.put(truncateId(update.id()), update.endpoint()));
        if (complete) {
            missingFrom(name, endpoints.keySet())
                    .forEach((id, endpoint) -> endpoints.put(id, endpoint.asRemoved(revision, now)));
        }
        if (complete && name.equals(currentSource)) {
            heldDrains.values().removeIf(drain -> drain.heldAtRevision <= revision);
        }
        endpoints.forEach((id, endpoint) -> apply(name, id, endpoint));
        source.newestRevision = Math.max(source.newestRevision, revision);
        if (complete) {
            source.completeRevision = Math.max(source.completeRevision, revision);
        }
        publish(name, revision, endpoints, now);
    }

    private void publish(String source, long revision, Map<String, ListedEndpoint> endpoints, double now) {
        endpoints.forEach(
                (id, endpoint) -> store.merge(ListedEndpoint.TYPE, ListedEndpoint.key(source, id), endpoint, now));
        ListedEndpoint received = ListedEndpoint.ofRevision(revision, now);
        store.merge(ListedEndpoint.TYPE, ListedEndpoint.key(source, ""), received, now);
    }

    /** Returns the known nodes that a complete list of a source does not contain. */
    private Map<String, ListedEndpoint> missingFrom(String source, Set<String> listedIds) {
        var missing = new HashMap<String, ListedEndpoint>(source.equals(currentSource) ? effective : Map.of());
        missing.putAll(sources.get(source).endpoints);
        missing.keySet().removeAll(listedIds);
        return missing;
    }

    /**
     * Switches to another discovery source after the address of discovery has changed. The effective endpoints stay in
     * place until this router, or a peer that uses the new source, receives an update from it.
     *
     * @param source the new source, as host and port
     */
    public void onSourceChanged(String source) {
        String name = truncateSource(source);
        if (name.equals(currentSource)) {
            return;
        }
        currentSource = name;
        findOrAddSource(name);
        Map<String, ListedEndpoint> currentEndpoints = sources.get(name).endpoints;
        effective.forEach((id, endpoint) -> {
            if (endpoint.isClosed()) {
                holdDrain(id, endpoint);
            }
        });
        for (DiscoverySource other : new ArrayList<>(sources.values())) {
            other.endpoints.forEach((id, endpoint) -> {
                if (endpoint.isClosed() && !currentEndpoints.containsKey(id)) {
                    holdDrain(id, endpoint);
                }
            });
        }
        var ids = new HashSet<>(heldDrains.keySet());
        ids.addAll(currentEndpoints.keySet());
        ids.forEach(this::updateEffectiveEndpoint);
    }

    /** Returns the nodes whose effective endpoint has changed since the last call, each once. */
    public List<EndpointUpdate> takeChanges() {
        var changes = new ArrayList<EndpointUpdate>();
        changedEndpoints.forEach((id, endpoint) -> changes.add(new EndpointUpdate(id, endpoint)));
        changedEndpoints.clear();
        return changes;
    }

    /**
     * Renews the entries of the current source before they expire in the store. An entry is renewed only if this router
     * has received its revision itself; a renewal by one router makes those of the others unnecessary. May be called at
     * any time.
     */
    public void renew(double now) {
        double retention = ListedEndpoint.TYPE.retentionSeconds();
        if (now < lastRenewalCheckAt + retention / RENEWAL_CHECKS_PER_RETENTION) {
            return;
        }
        lastRenewalCheckAt = now;
        DiscoverySource source = sources.get(currentSource);
        double renewedBefore = now - retention / RENEWAL_AGE_DIVISOR;
        var renewed = new LinkedHashMap<String, ListedEndpoint>();
        source.endpoints.forEach((id, endpoint) -> {
            if (endpoint.revision() <= source.ownRevision && endpoint.lastReceivedAt() < renewedBefore) {
                renewed.put(id, endpoint.withLastReceivedAt(now));
            }
        });
        // Merging into the store calls this class back, which modifies the map of the source's endpoints.
        renewed.forEach((id, endpoint) ->
                store.merge(ListedEndpoint.TYPE, ListedEndpoint.key(currentSource, id), endpoint, now));
    }

    /**
     * Returns the number of revisions of the current source that other routers have received and this router has not.
     */
    public long revisionsBehind() {
        DiscoverySource source = sources.get(currentSource);
        return source.newestRevision - source.ownRevision;
    }

    /**
     * Returns the number of updates that were older than the known entry, or of nodes missing from a newer complete
     * list.
     */
    public long staleUpdates() {
        return staleUpdates;
    }
}
