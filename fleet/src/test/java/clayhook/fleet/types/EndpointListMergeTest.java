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

/** How updates of several discovery sources are merged into one endpoint list. */
class EndpointListMergeTest {
    private static final List<EndpointState> STATES = List.of(EndpointState.values());

    private final SharedMemoryStore store = new SharedMemoryStore();
    private final EndpointListMerge merge = new EndpointListMerge("old:1", store);
    private final Map<String, EndpointState> published = new TreeMap<>();

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
        published.putAll(changes);
        return changes.toString();
    }

    /**
     * Partial and complete lists of this router's discovery and updates of peers, late and repeated: the newest
     * revision holds after each step.
     */
    @Property(tries = 500, seed = "27")
    void newestRevisionWinsInAnyOrderOfUpdates(@ForAll Random random) {
        new EndpointListMergeTest().checkRandomUpdates(random);
    }

    private void checkRandomUpdates(Random random) {
        record Update(long revision, boolean complete, boolean byPeer, Map<String, EndpointState> states) {}
        var truth = new HashMap<String, EndpointState>();
        var received = new ArrayList<Update>();
        for (long revision = 1; revision <= 12; revision++) {
            String id = "n" + random.nextInt(4);
            EndpointState state = STATES.get(random.nextInt(STATES.size()));
            truth.remove(id);
            if (state != EndpointState.GONE) {
                truth.put(id, state);
            }
            received.add(
                    random.nextInt(3) == 0
                            ? new Update(revision, true, false, Map.copyOf(truth))
                            : new Update(revision, false, random.nextBoolean(), Map.of(id, state)));
        }
        received.addAll(List.copyOf(received.subList(0, 4)));
        Collections.shuffle(received, random);
        var newest = new HashMap<String, Long>();
        var expected = new HashMap<String, EndpointState>();
        for (Update update : received) {
            for (String id : List.of("n0", "n1", "n2", "n3")) {
                if ((update.complete || update.states.containsKey(id))
                        && update.revision > newest.getOrDefault(id, 0L)) {
                    newest.put(id, update.revision);
                    expected.put(id, update.states.getOrDefault(id, EndpointState.GONE));
                }
            }
            if (update.byPeer) {
                update.states.forEach((id, state) -> putAsPeer("old:1", id, endpoint(update.revision, state)));
            } else {
                merge.onDiscoveryUpdate(
                        "old:1", update.revision, update.complete, updates(update.revision, update.states), 100);
            }
            takeChanges();
            expected.forEach((id, state) ->
                    assertEquals(state, published.getOrDefault(id, EndpointState.GONE), id + " after " + update));
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
        putAsPeer("new:1", "a", endpoint(3, EndpointState.DRAINING));
        assertEquals("{}", takeChanges(), "updates of the current source win");
        merge.onSourceChanged("new:1");
        assertEquals("{a=DRAINING}", takeChanges(), "a peer that changed first has received it");
        putAsPeer("old:1", "b", endpoint(51, EndpointState.READY));
        putAsPeer("old:1", "c", endpoint(51, EndpointState.DRAINING));
        putAsPeer("old:1", "d", endpoint(51, EndpointState.READY).asRemoved(51, 100));
        assertEquals("{c=DRAINING, d=GONE}", takeChanges(), "b goes on draining");
        merge.onDiscoveryUpdate("new:1", 4, false, updates(4, Map.of("c", EndpointState.READY)), 100);
        putAsPeer("old:1", "c", endpoint(60, EndpointState.DRAINING));
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
                "what the list leaves out is shared");
        merge.onSourceChanged("old:1");
        assertEquals("{c=DRAINING}", takeChanges(), "a goes on draining: what the old source said before is older");
        merge.onDiscoveryUpdate("old:1", 50, true, updates(50, Map.of("a", EndpointState.READY)), 100);
        assertEquals("{a=READY}", takeChanges(), "what the current source says now wins, even if it repeats itself");
    }

    @Example
    void countsRevisionsBehindAndRenewsEntriesOnce() {
        merge.onDiscoveryUpdate("old:1", 50, true, updates(50, Map.of("a", EndpointState.READY)), 100);
        putAsPeer("old:1", "", endpoint(53, EndpointState.READY));
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
        assertFalse(restarted.takeChanges().isEmpty(), "a router that starts has what its peers have received");
    }

    private void putAsPeer(String source, String id, ListedEndpoint endpoint) {
        store.merge(ListedEndpoint.TYPE, ListedEndpoint.key(source, id), endpoint, 100);
    }
}
