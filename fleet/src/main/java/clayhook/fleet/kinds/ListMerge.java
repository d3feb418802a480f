package clayhook.fleet.kinds;

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
public final class ListMerge {
    /** What is said of a node; the id as {@link Listed} keys it. */
    public record Entry(String id, Listed word) {}

    /** Discovery seldom moves; what the oldest said is dropped. */
    private static final int MOST_SOURCES = 4;

    private static final class Source {
        /** Emptied of nodes that are gone, where there are more than a list may have. */
        final Map<String, Listed> words = new HashMap<>();
        /** The newest revision that anyone heard, that this router heard, and that it heard whole; -1 for none. */
        long newest = -1, own = -1, whole = -1;
    }

    /**
     * A drain by another source; the current one has to say more than this revision of the node to end it, -1 for
     * anything.
     */
    private record Held(Listed word, long beyond) {}

    private final ReplicatedStore shared;
    /** By name, longest unheard first; bounded by {@link #MOST_SOURCES}, the current one always among them. */
    private final Map<String, Source> sources = new LinkedHashMap<>(16, 0.75f, true);
    /** Emptied by the current source's word or whole list. */
    private final Map<String, Held> held = new HashMap<>();
    /** What was last given out of each node; emptied with the sources' words. */
    private final Map<String, Listed> given = new HashMap<>();
    /** What has changed since it was last asked; emptied by that. */
    private final Map<String, Listed> changed = new LinkedHashMap<>();

    private String current;
    private double renewedAt = Double.NEGATIVE_INFINITY;
    private long late;

    /**
     * Hears what {@code shared} holds and what peers put there from now on. {@code source} as a text of host and port.
     */
    public ListMerge(String source, ReplicatedStore shared) {
        this.shared = shared;
        current = nameOf(source);
        source(current);
        shared.forEach(Listed.KIND, this::told);
        shared.addListener(Listed.KIND, (key, word, now) -> told(key, word));
    }

    private static String nameOf(String source) {
        return Listed.parts(Listed.key(source, "")).get(0);
    }

    private static String idOf(String id) {
        return Listed.parts(Listed.key("", id)).get(1);
    }

    private Source source(String name) {
        Source source = sources.computeIfAbsent(name, any -> new Source());
        for (Iterator<String> oldest = sources.keySet().iterator(); sources.size() > MOST_SOURCES; ) {
            String next = oldest.next();
            if (!next.equals(current) && !next.equals(name)) {
                oldest.remove();
            }
        }
        return source;
    }

    private void told(String key, Listed word) {
        List<String> parts = Listed.parts(key);
        if (parts.size() == 2) {
            hear(parts.get(0), parts.get(1), word);
        }
    }

    private void hear(String from, String id, Listed word) {
        Source source = source(from);
        source.newest = Math.max(source.newest, word.revision());
        Listed known = source.words.get(id);
        if (id.isEmpty()) {
            return;
        } else if (known == null && (word.revision() <= source.whole || !hasRoom(source))) {
            late++; // of a node that a newer whole list does not have
            return;
        }
        Listed joined = known == null ? word : Listed.KIND.merge(known, word);
        late += joined.revision() > word.revision() ? 1 : 0;
        source.words.put(id, joined);
        if (joined.closed()
                && !from.equals(current)
                && !sources.get(current).words.containsKey(id)) {
            hold(id, joined);
        }
        decide(id);
    }

    /**
     * At the bound nodes that are gone make room, as nobody sends them anything; without any a new node is left out.
     */
    private boolean hasRoom(Source source) {
        if (source.words.size() < Evidence.KIND.maxEntries()) {
            return true;
        }
        given.values().removeIf(word -> word.state() == Listed.State.GONE);
        return source.words.values().removeIf(word -> word.state() == Listed.State.GONE);
    }

    /** The more closed word holds, against what the current source has said so far. */
    private void hold(String id, Listed word) {
        Listed said = sources.get(current).words.get(id);
        var made = new Held(word, said == null ? -1 : said.revision());
        held.merge(
                id, made, (a, b) -> new Held(b.word.state().compareTo(a.word.state()) > 0 ? b.word : a.word, b.beyond));
    }

    private void decide(String id) {
        Listed word = sources.get(current).words.get(id);
        Held drain = held.get(id);
        if (drain != null && (word == null || word.revision() <= drain.beyond)) {
            word = drain.word;
        } else {
            held.remove(id);
        }
        if (word != null && !word.saysAs(given.put(id, word))) {
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
    public void own(String from, long revision, boolean whole, List<Entry> entries, double now) {
        String name = nameOf(from);
        Source source = source(name);
        source.own = Math.max(source.own, revision);
        var words = new LinkedHashMap<String, Listed>();
        entries.forEach(entry -> words.put(idOf(entry.id()), entry.word()));
        if (whole) {
            notListed(name, words.keySet()).forEach((id, word) -> words.put(id, word.gone(revision, now)));
        }
        if (whole && name.equals(current)) {
            held.values().removeIf(drain -> drain.beyond <= revision);
        }
        words.forEach((id, word) -> hear(name, id, word));
        source.newest = Math.max(source.newest, revision);
        source.whole = whole ? Math.max(source.whole, revision) : source.whole;
        words.forEach((id, word) -> shared.merge(Listed.KIND, Listed.key(name, id), word, now));
        shared.merge(Listed.KIND, Listed.key(name, ""), Listed.ofRevision(revision, now), now);
    }

    /** Known nodes that a whole list of that source does not have, with what is known of them. */
    private Map<String, Listed> notListed(String name, Set<String> ids) {
        var out = new HashMap<String, Listed>(name.equals(current) ? given : Map.of());
        out.putAll(sources.get(name).words);
        out.keySet().removeAll(ids);
        return out;
    }

    /**
     * Discovery is at another address now. What was given out stands until that one, or a peer that hears it, has a
     * word.
     */
    public void moved(String source) {
        String name = nameOf(source);
        if (name.equals(current)) {
            return;
        }
        current = name;
        source(name);
        Map<String, Listed> said = sources.get(name).words;
        given.forEach((id, word) -> {
            if (word.closed()) {
                hold(id, word);
            }
        });
        for (Source other : new ArrayList<>(sources.values())) {
            other.words.forEach((id, word) -> {
                if (word.closed() && !said.containsKey(id)) {
                    hold(id, word);
                }
            });
        }
        var ids = new HashSet<>(held.keySet());
        ids.addAll(said.keySet());
        ids.forEach(this::decide);
    }

    /** What has changed since this was last asked, each node once: one that drains or is gone, or is there again. */
    public List<Entry> changes() {
        var out = new ArrayList<Entry>();
        changed.forEach((id, word) -> out.add(new Entry(id, word)));
        changed.clear();
        return out;
    }

    /**
     * Puts the current source's words again that would else go, as long as this router hears it. The first router to do
     * so spares it the others. May be called at any time.
     */
    public void renew(double now) {
        if (now < renewedAt + Listed.KIND.retentionSeconds() / 8) {
            return;
        }
        renewedAt = now;
        Source source = sources.get(current);
        source.words.entrySet().stream()
                .filter(entry -> entry.getValue().revision() <= source.own
                        && entry.getValue().at() < now - Listed.KIND.retentionSeconds() / 2)
                .toList()
                .forEach(entry -> shared.merge(
                        Listed.KIND,
                        Listed.key(current, entry.getKey()),
                        entry.getValue().heardAt(now),
                        now));
    }

    /**
     * Revisions of the current source by which peers have heard more than this router's own discovery told it; 0 for
     * none.
     */
    public long behind() {
        Source source = sources.get(current);
        return source.newest - source.own;
    }

    /** Words that came later than a newer one, or of nodes that a newer list does not have. */
    public long late() {
        return late;
    }
}
