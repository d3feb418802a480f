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
 * Merges the endpoint lists of this router's own discovery and of those that other routers have received.
 *
 * <p>For each node, the newest update of the current discovery source wins. Updates of other sources do not count,
 * except for drains: those in effect when the source changed, and those of nodes that the current source has not
 * mentioned, hold until the current source has a newer update of the node or its complete list. Revisions of two
 * sources cannot be compared, and a source that was given up because it is wrong must not be able to close the fleet.
 *
 * <p>Not thread-safe. Times are in seconds since 1970 on this router's clock.
 */
public final class EndpointListMerge {
    /**
     * What the list says about a node.
     *
     * @param id of the node, truncated as in the keys of {@link ListedEndpoint}
     */
    public record EndpointUpdate(String id, ListedEndpoint endpoint) {}

    /** The source rarely changes; what the oldest one said is dropped. */
    private static final int MAX_SOURCES = 4;

    private static final long NO_REVISION = -1;
    /** How often within the retention it is checked whether updates need renewal. */
    private static final int RENEWAL_CHECKS_PER_RETENTION = 8;
    /** An update is renewed once it is older than the retention divided by this. */
    private static final int RENEWAL_AGE_DIVISOR = 2;

    private static final class DiscoverySource {
        /** By node id. Nodes that are gone are removed when there are more than a list may have. */
        final Map<String, ListedEndpoint> endpoints = new HashMap<>();
        /** The newest revision that any router has received. */
        long newestRevision = NO_REVISION;
        /** The newest revision that this router has received. */
        long ownRevision = NO_REVISION;
        /** The newest revision that this router has received as a complete list. */
        long completeRevision = NO_REVISION;
    }

    /**
     * A drain by another source.
     *
     * @param heldAtRevision the current source's revision of the node, which a newer one must exceed to end the drain
     */
    private record HeldDrain(ListedEndpoint endpoint, long heldAtRevision) {}

    private final ReplicatedStore store;
    /**
     * In the order of access, so that the source not heard for longest is dropped first. The current one always stays.
     */
    private final Map<String, DiscoverySource> sources = new LinkedHashMap<>(16, 0.75f, true);

    private final Map<String, HeldDrain> heldDrains = new HashMap<>();
    /** What was last decided for each node. */
    private final Map<String, ListedEndpoint> published = new HashMap<>();
    /** What was decided since {@link #takeChanges()}. */
    private final Map<String, ListedEndpoint> changed = new LinkedHashMap<>();

    private String currentSource;
    private double renewedAt = Double.NEGATIVE_INFINITY;
    private long staleUpdates;

    /**
     * Starts to follow the endpoints that the store holds and receives.
     *
     * @param source the current discovery source, as host and port
     */
    public EndpointListMerge(String source, ReplicatedStore store) {
        this.store = store;
        currentSource = sourceKey(source);
        findOrAddSource(currentSource);
        store.forEach(ListedEndpoint.TYPE, this::onReplicatedUpdate);
        store.addListener(ListedEndpoint.TYPE, (key, endpoint, now) -> onReplicatedUpdate(key, endpoint));
    }

    private static String sourceKey(String source) {
        return ListedEndpoint.parseKey(ListedEndpoint.key(source, "")).get(0);
    }

    private static String idKey(String id) {
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
            return; // it only states the revision
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
        resolve(id);
    }

    /**
     * Returns whether a source may have another node. At the bound, nodes that are gone are removed, as they get no
     * requests; without any, a new node is left out.
     */
    private boolean makeRoom(DiscoverySource source) {
        if (source.endpoints.size() < NodeObservation.TYPE.maxEntries()) {
            return true;
        }
        published.values().removeIf(endpoint -> endpoint.state() == EndpointState.GONE);
        return source.endpoints.values().removeIf(endpoint -> endpoint.state() == EndpointState.GONE);
    }

    /** Holds a drain against what the current source has said so far; of two drains the more closed state. */
    private void holdDrain(String id, ListedEndpoint drain) {
        ListedEndpoint current = sources.get(currentSource).endpoints.get(id);
        var added = new HeldDrain(drain, current == null ? NO_REVISION : current.revision());
        heldDrains.merge(id, added, EndpointListMerge::moreClosed);
    }

    private static HeldDrain moreClosed(HeldDrain held, HeldDrain added) {
        boolean addedIsMoreClosed = added.endpoint.state().compareTo(held.endpoint.state()) > 0;
        return new HeldDrain(addedIsMoreClosed ? added.endpoint : held.endpoint, added.heldAtRevision);
    }

    /** Decides what holds for a node, and records it if it has changed. */
    private void resolve(String id) {
        ListedEndpoint endpoint = sources.get(currentSource).endpoints.get(id);
        HeldDrain drain = heldDrains.get(id);
        if (drain != null && (endpoint == null || endpoint.revision() <= drain.heldAtRevision)) {
            endpoint = drain.endpoint;
        } else {
            heldDrains.remove(id);
        }
        if (endpoint != null && !endpoint.describesSameAs(published.put(id, endpoint))) {
            changed.put(id, endpoint);
        }
    }

    /**
     * Applies what this router's own discovery has received, and shares it with the other routers. Late and repeated
     * updates do no harm.
     *
     * @param from the source, which may be a former one
     * @param complete whether the updates are the complete list, so that nodes missing from it are gone
     * @param updates each of that revision
     */
    public void onDiscoveryUpdate(
            String from, long revision, boolean complete, List<EndpointUpdate> updates, double now) {
        String name = sourceKey(from);
        DiscoverySource source = findOrAddSource(name);
        source.ownRevision = Math.max(source.ownRevision, revision);
        var endpoints = new LinkedHashMap<String, ListedEndpoint>();
        updates.forEach(update -> endpoints.put(idKey(update.id()), update.endpoint()));
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
        share(name, revision, endpoints, now);
    }

    private void share(String source, long revision, Map<String, ListedEndpoint> endpoints, double now) {
        endpoints.forEach(
                (id, endpoint) -> store.merge(ListedEndpoint.TYPE, ListedEndpoint.key(source, id), endpoint, now));
        ListedEndpoint received = ListedEndpoint.ofRevision(revision, now);
        store.merge(ListedEndpoint.TYPE, ListedEndpoint.key(source, ""), received, now);
    }

    /** Returns the known nodes that a complete list of a source does not contain. */
    private Map<String, ListedEndpoint> missingFrom(String source, Set<String> listedIds) {
        var missing = new HashMap<String, ListedEndpoint>(source.equals(currentSource) ? published : Map.of());
        missing.putAll(sources.get(source).endpoints);
        missing.keySet().removeAll(listedIds);
        return missing;
    }

    /**
     * Changes the current source, as discovery has another address. What was decided holds until the new source, or a
     * router that listens to it, has an update.
     */
    public void onSourceChanged(String source) {
        String name = sourceKey(source);
        if (name.equals(currentSource)) {
            return;
        }
        currentSource = name;
        findOrAddSource(name);
        Map<String, ListedEndpoint> currentEndpoints = sources.get(name).endpoints;
        published.forEach((id, endpoint) -> {
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
        ids.forEach(this::resolve);
    }

    /** Returns the nodes that have changed since the last call, each once. */
    public List<EndpointUpdate> takeChanges() {
        var changes = new ArrayList<EndpointUpdate>();
        changed.forEach((id, endpoint) -> changes.add(new EndpointUpdate(id, endpoint)));
        changed.clear();
        return changes;
    }

    /**
     * Renews the current source's endpoints before they expire in the store, as long as this router receives them. The
     * first router to do so spares the others. May be called at any time.
     */
    public void renew(double now) {
        double retention = ListedEndpoint.TYPE.retentionSeconds();
        if (now < renewedAt + retention / RENEWAL_CHECKS_PER_RETENTION) {
            return;
        }
        renewedAt = now;
        DiscoverySource source = sources.get(currentSource);
        double renewedBefore = now - retention / RENEWAL_AGE_DIVISOR;
        var renewed = new LinkedHashMap<String, ListedEndpoint>();
        source.endpoints.forEach((id, endpoint) -> {
            if (endpoint.revision() <= source.ownRevision && endpoint.lastHeardAt() < renewedBefore) {
                renewed.put(id, endpoint.withLastHeardAt(now));
            }
        });
        // The store calls back and changes the endpoints of the source.
        renewed.forEach((id, endpoint) ->
                store.merge(ListedEndpoint.TYPE, ListedEndpoint.key(currentSource, id), endpoint, now));
    }

    /** Returns by how many revisions of the current source this router is behind other routers; 0 for none. */
    public long revisionsBehind() {
        DiscoverySource source = sources.get(currentSource);
        return source.newestRevision - source.ownRevision;
    }

    /** Returns how many updates were older than what was known, or of nodes that a newer list does not contain. */
    public long staleUpdates() {
        return staleUpdates;
    }
}
