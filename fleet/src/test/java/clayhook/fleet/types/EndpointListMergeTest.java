package clayhook.fleet.types;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import clayhook.fleet.types.ListedEndpoint.EndpointState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests how {@link EndpointListMerge} merges the updates of several discovery sources. */
class EndpointListMergeTest {
    private static final List<EndpointState> STATES = List.of(EndpointState.values());

    private final SharedMemoryStore store = new SharedMemoryStore();
    private final EndpointListMerge merge = new EndpointListMerge("old:1", store);
    private final Map<String, EndpointState> effectiveStates = new TreeMap<>();

    private static ListedEndpoint endpoint(long revision, EndpointState state) {
        return new ListedEndpoint(revision, state, 0, false, "z", 0, "h", 1, 100);
    }

    private static List<EndpointListMerge.EndpointUpdate> updates(long revision, Map<String, EndpointState> states) {
        return states.entrySet().stream()
                .map(each -> new EndpointListMerge.EndpointUpdate(each.getKey(), endpoint(revision, each.getValue())))
                .toList();
    }

    private String takeChanges() {
        var changes = new TreeMap<String, EndpointState>();
        merge.takeChanges()
                .forEach(update -> changes.put(update.id(), update.endpoint().state()));
        effectiveStates.putAll(changes);
        return changes.toString();
    }

    /**
     * Applies partial and complete lists from this router's discovery, and updates by peers, late and repeatedly; after
     * each step the newest revision must be in effect.
     */
    @Property(tries = 500, seed = "27")
    void newestRevisionWinsInAnyOrderOfUpdates(@ForAll Random random) {
        new EndpointListMergeTest().checkRandomUpdates(random);
    }

    private void checkRandomUpdates(Random random) {
        record Update(long revision, boolean complete, boolean fromPeer, Map<String, EndpointState> states) {}
        var listedStates = new HashMap<String, EndpointState>();
        var received = new ArrayList<Update>();
        for (long revision = 1; revision <= 12; revision++) {
            String id = "n" + random.nextInt(4);
            EndpointState state = STATES.get(random.nextInt(STATES.size()));
            listedStates.remove(id);
            if (state != EndpointState.GONE) {
                listedStates.put(id, state);
            }
            received.add(
                    random.nextInt(3) == 0
                            ? new Update(revision, true, false, Map.copyOf(listedStates))
                            : new Update(revision, false, random.nextBoolean(), Map.of(id, state)));
        }
        received.addAll(List.copyOf(received.subList(0, 4)));
        Collections.shuffle(received, random);
        var newestRevisions = new HashMap<String, Long>();
        var expected = new HashMap<String, EndpointState>();
        for (Update update : received) {
            for (String id : List.of("n0", "n1", "n2", "n3")) {
                if ((update.complete || update.states.containsKey(id))
                        && update.revision > newestRevisions.getOrDefault(id, 0L)) {
                    newestRevisions.put(id, update.revision);
                    expected.put(id, update.states.getOrDefault(id, EndpointState.GONE));
                }
            }
            if (update.fromPeer) {
                update.states.forEach((id, state) -> mergePeerUpdate("old:1", id, endpoint(update.revision, state)));
            } else {
                merge.onDiscoveryUpdate(
                        "old:1", update.revision, update.complete, updates(update.revision, update.states), 100);
            }
            takeChanges();
            expected.forEach((id, state) ->
                    assertEquals(state, effectiveStates.getOrDefault(id, EndpointState.GONE), id + " after " + update));
        }
    }

    @Example
    void afterASourceChangeOnlyDrainsOfOtherSourcesHoldUntilTheNewSourceUpdates() {
        var states = Map.of(
                "a",
                EndpointState.READY,
                "b",
                EndpointState.DRAINING,
                "c",
                EndpointState.READY,
                "d",
                EndpointState.READY);
        merge.onDiscoveryUpdate("old:1", 50, true, updates(50, states), 100);
        assertEquals("{a=READY, b=DRAINING, c=READY, d=READY}", takeChanges());
        mergePeerUpdate("new:1", "a", endpoint(3, EndpointState.DRAINING));
        assertEquals("{}", takeChanges(), "updates of the current source take precedence");
        merge.onSourceChanged("new:1");
        assertEquals("{a=DRAINING}", takeChanges(), "the update by a peer that switched sources earlier takes effect");
        mergePeerUpdate("old:1", "b", endpoint(51, EndpointState.READY));
        mergePeerUpdate("old:1", "c", endpoint(51, EndpointState.DRAINING));
        mergePeerUpdate("old:1", "d", endpoint(51, EndpointState.READY).asRemoved(51, 100));
        assertEquals("{c=DRAINING, d=GONE}", takeChanges(), "b stays draining");
        merge.onDiscoveryUpdate("new:1", 4, false, updates(4, Map.of("c", EndpointState.READY)), 100);
        mergePeerUpdate("old:1", "c", endpoint(60, EndpointState.DRAINING));
        assertEquals("{c=READY}", takeChanges());
        merge.onDiscoveryUpdate(
                "new:1",
                5,
                true,
                updates(5, Map.of("a", EndpointState.DRAINING, "b", EndpointState.READY, "c", EndpointState.READY)),
                100);
        assertEquals("{b=READY}", takeChanges());
        assertEquals(
                EndpointState.GONE,
                store.get(ListedEndpoint.TYPE, ListedEndpoint.key("new:1", "d")).state(),
                "the removal of a node missing from the list is shared");
        merge.onSourceChanged("old:1");
        assertEquals(
                "{c=DRAINING}",
                takeChanges(),
                "a stays draining: the known updates of the old source are older than the drain");
        merge.onDiscoveryUpdate("old:1", 50, true, updates(50, Map.of("a", EndpointState.READY)), 100);
        assertEquals("{a=READY}", takeChanges(), "a new update of the current source wins, even with a known revision");
    }

    @Example
    void countsRevisionsBehindAndRenewsEntriesOnce() {
        merge.onDiscoveryUpdate("old:1", 50, true, updates(50, Map.of("a", EndpointState.READY)), 100);
        mergePeerUpdate("old:1", "", endpoint(53, EndpointState.READY));
        store.merge(ListedEndpoint.TYPE, "a key of another release", endpoint(1, EndpointState.DRAINING), 100);
        assertEquals(3, merge.revisionsBehind());
        merge.renew(100 + ListedEndpoint.TYPE.retentionSeconds() / 4);
        assertEquals(
                100,
                store.get(ListedEndpoint.TYPE, ListedEndpoint.key("old:1", "a")).lastReceivedAt());
        merge.renew(101 + ListedEndpoint.TYPE.retentionSeconds() / 2);
        assertEquals(
                101 + ListedEndpoint.TYPE.retentionSeconds() / 2,
                store.get(ListedEndpoint.TYPE, ListedEndpoint.key("old:1", "a")).lastReceivedAt());
        assertEquals("{a=READY}", takeChanges());
        var restarted = new EndpointListMerge("old:1", store);
        assertFalse(
                restarted.takeChanges().isEmpty(), "a restarted router loads the updates that its peers have received");
    }

    private void mergePeerUpdate(String source, String id, ListedEndpoint endpoint) {
        store.merge(ListedEndpoint.TYPE, ListedEndpoint.key(source, id), endpoint, 100);
    }
}
