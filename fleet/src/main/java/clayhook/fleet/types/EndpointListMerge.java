package clayhook.fleet.types;

import clayhook.fleet.ReplicatedStore;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The list of nodes out of this router's own discovery and of what peers have heard from theirs. For each node the
 * current source's newest word counts. What other sources say does not, but for drains: those that stood when discovery
 * moved, and those of nodes on which the current source has no word, hold until it has a newer word or its whole list.
 * Revisions of two sources cannot be compared, and a source that was given up because it is wrong must not be able to
 * close the fleet.
 */
public final class EndpointListMerge {
    /** What is said of a node; the id as {@link ListedEndpoint} keys it. */
    public record EndpointUpdate(String id, ListedEndpoint endpoint) {}

    /** Discovery seldom moves; what the oldest said is dropped. */
    private static final int MAX_SOURCES = 4;

    private static final class DiscoverySource {
        /** Emptied of nodes that are gone, where there are more than a list may have. */
        final Map<String, ListedEndpoint> endpoints = new HashMap<>();
        /** The newest revision that anyone heard, that this router heard, and that it heard whole; -1 for none. */
        long newestRevision = -1, ownRevision = -1, completeRevision = -1;
    }

    /**
     * A drain by another source; the current one has to say more than this revision of the node to end it, -1 for
     * anything.
     */
    private record HeldDrain(ListedEndpoint endpoint, long heldAtRevision) {}

    private final ReplicatedStore store;
    /** By name, longest unheard first; bounded by {@link #MAX_SOURCES}, the current one always among them. */
    private final Map<String, DiscoverySource> sources = new LinkedHashMap<>(16, 0.75f, true);
    /** Emptied by the current source's word or whole list. */
    private final Map<String, HeldDrain> heldDrains = new HashMap<>();
    /** What was last given out of each node; emptied with the sources' words. */
    private final Map<String, ListedEndpoint> published = new HashMap<>();
    /** What has changed since it was last asked; emptied by that. */
    private final Map<String, ListedEndpoint> changed = new LinkedHashMap<>();

    private String currentSource;
    private double renewedAt = Double.NEGATIVE_INFINITY;
    private long staleUpdates;

    /**
     * Hears what {@code shared} holds and what peers put there from now on. {@code source} as a text of host and port.
     */
    public EndpointListMerge(String source, ReplicatedStore shared) {
        this.store = shared;
        currentSource = sourceKey(source);
        findOrAddSource(currentSource);
        shared.forEach(ListedEndpoint.TYPE, this::onReplicatedUpdate);
        shared.addListener(ListedEndpoint.TYPE, (key, word, now) -> onReplicatedUpdate(key, word));
    }

    private static String sourceKey(String source) {
        return ListedEndpoint.parseKey(ListedEndpoint.key(source, "")).get(0);
    }

    private static String idKey(String id) {
        return ListedEndpoint.parseKey(ListedEndpoint.key("", id)).get(1);
    }

    private DiscoverySource findOrAddSource(String name) {
        DiscoverySource source = sources.computeIfAbsent(name, any -> new DiscoverySource());
        for (Iterator<String> oldest = sources.keySet().iterator(); sources.size() > MAX_SOURCES; ) {
            String next = oldest.next();
            if (!next.equals(currentSource) && !next.equals(name)) {
                oldest.remove();
            }
        }
        return source;
    }

    private void onReplicatedUpdate(String key, ListedEndpoint word) {
        List<String> parts = ListedEndpoint.parseKey(key);
        if (parts.size() == 2) {
            apply(parts.get(0), parts.get(1), word);
        }
    }

    private void apply(String from, String id, ListedEndpoint word) {
        DiscoverySource source = findOrAddSource(from);
        source.newestRevision = Math.max(source.newestRevision, word.revision());
        ListedEndpoint known = source.endpoints.get(id);
        if (id.isEmpty()) {
            return;
        } else if (known == null && (word.revision() <= source.completeRevision || !makeRoom(source))) {
            staleUpdates++; // of a node that a newer whole list does not have
            return;
        }
        ListedEndpoint joined = known == null ? word : ListedEndpoint.TYPE.merge(known, word);
        staleUpdates += joined.revision() > word.revision() ? 1 : 0;
        source.endpoints.put(id, joined);
        if (joined.isClosed()
                && !from.equals(currentSource)
                && !sources.get(currentSource).endpoints.containsKey(id)) {
            holdDrain(id, joined);
        }
        resolve(id);
    }

    /**
     * At the bound nodes that are gone make room, as nobody sends them anything; without any a new node is left out.
     */
    private boolean makeRoom(DiscoverySource source) {
        if (source.endpoints.size() < NodeObservation.TYPE.maxEntries()) {
            return true;
        }
        published.values().removeIf(word -> word.state() == ListedEndpoint.EndpointState.GONE);
        return source.endpoints.values().removeIf(word -> word.state() == ListedEndpoint.EndpointState.GONE);
    }

    /** The more closed word holds, against what the current source has said so far. */
    private void holdDrain(String id, ListedEndpoint word) {
        ListedEndpoint said = sources.get(currentSource).endpoints.get(id);
        var made = new HeldDrain(word, said == null ? -1 : said.revision());
        heldDrains.merge(
                id,
                made,
                (a, b) -> new HeldDrain(
                        b.endpoint.state().compareTo(a.endpoint.state()) > 0 ? b.endpoint : a.endpoint,
                        b.heldAtRevision));
    }

    private void resolve(String id) {
        ListedEndpoint word = sources.get(currentSource).endpoints.get(id);
        HeldDrain drain = heldDrains.get(id);
        if (drain != null && (word == null || word.revision() <= drain.heldAtRevision)) {
            word = drain.endpoint;
        } else {
            heldDrains.remove(id);
        }
        if (word != null && !word.describesSameAs(published.put(id, word))) {
            changed.put(id, word);
        }
    }

    /**
     * This router's own discovery told that, all of the list or what changed; late and doubled news do no harm. It is
     * put into what routers share.
     *
     * @param from the source that told it; one before the current one may still do
     * @param entries each of that revision
     */
    public void onDiscoveryUpdate(String from, long revision, boolean whole, List<EndpointUpdate> entries, double now) {
        String name = sourceKey(from);
        DiscoverySource source = findOrAddSource(name);
        source.ownRevision = Math.max(source.ownRevision, revision);
        var words = new LinkedHashMap<String, ListedEndpoint>();
        entries.forEach(entry -> words.put(idKey(entry.id()), entry.endpoint()));
        if (whole) {
            missingFrom(name, words.keySet()).forEach((id, word) -> words.put(id, word.asRemoved(revision, now)));
        }
        if (whole && name.equals(currentSource)) {
            heldDrains.values().removeIf(drain -> drain.heldAtRevision <= revision);
        }
        words.forEach((id, word) -> apply(name, id, word));
        source.newestRevision = Math.max(source.newestRevision, revision);
        source.completeRevision = whole ? Math.max(source.completeRevision, revision) : source.completeRevision;
        words.forEach((id, word) -> store.merge(ListedEndpoint.TYPE, ListedEndpoint.key(name, id), word, now));
        store.merge(ListedEndpoint.TYPE, ListedEndpoint.key(name, ""), ListedEndpoint.ofRevision(revision, now), now);
    }

    /** Known nodes that a whole list of that source does not have, with what is known of them. */
    private Map<String, ListedEndpoint> missingFrom(String name, Set<String> ids) {
        var out = new HashMap<String, ListedEndpoint>(name.equals(currentSource) ? published : Map.of());
        out.putAll(sources.get(name).endpoints);
        out.keySet().removeAll(ids);
        return out;
    }

    /**
     * Discovery is at another address now. What was given out stands until that one, or a peer that hears it, has a
     * word.
     */
    public void onSourceChanged(String source) {
        String name = sourceKey(source);
        if (name.equals(currentSource)) {
            return;
        }
        currentSource = name;
        findOrAddSource(name);
        Map<String, ListedEndpoint> said = sources.get(name).endpoints;
        published.forEach((id, word) -> {
            if (word.isClosed()) {
                holdDrain(id, word);
            }
        });
        for (DiscoverySource other : new ArrayList<>(sources.values())) {
            other.endpoints.forEach((id, word) -> {
                if (word.isClosed() && !said.containsKey(id)) {
                    holdDrain(id, word);
                }
            });
        }
        var ids = new HashSet<>(heldDrains.keySet());
        ids.addAll(said.keySet());
        ids.forEach(this::resolve);
    }

    /** What has changed since this was last asked, each node once: one that drains or is gone, or is there again. */
    public List<EndpointUpdate> takeChanges() {
        var out = new ArrayList<EndpointUpdate>();
        changed.forEach((id, word) -> out.add(new EndpointUpdate(id, word)));
        changed.clear();
        return out;
    }

    /**
     * Puts the current source's words again that would else go, as long as this router hears it. The first router to do
     * so spares it the others. May be called at any time.
     */
    public void renew(double now) {
        if (now < renewedAt + ListedEndpoint.TYPE.retentionSeconds() / 8) {
            return;
        }
        renewedAt = now;
        DiscoverySource source = sources.get(currentSource);
        source.endpoints.entrySet().stream()
                .filter(entry -> entry.getValue().revision() <= source.ownRevision
                        && entry.getValue().lastHeardAt() < now - ListedEndpoint.TYPE.retentionSeconds() / 2)
                .toList()
                .forEach(entry -> store.merge(
                        ListedEndpoint.TYPE,
                        ListedEndpoint.key(currentSource, entry.getKey()),
                        entry.getValue().withLastHeardAt(now),
                        now));
    }

    /**
     * Revisions of the current source by which peers have heard more than this router's own discovery told it; 0 for
     * none.
     */
    public long revisionsBehind() {
        DiscoverySource source = sources.get(currentSource);
        return source.newestRevision - source.ownRevision;
    }

    /** Words that came later than a newer one, or of nodes that a newer list does not have. */
    public long staleUpdates() {
        return staleUpdates;
    }
}
