package clayhook.fleet.kinds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import clayhook.fleet.kinds.Listed.State;
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

class ListMergeTest {
    private final Memory shared = new Memory();
    private final ListMerge merge = new ListMerge("old:1", shared);
    private final Map<String, State> given = new TreeMap<>();

    private static Listed word(long revision, State state) {
        return new Listed(revision, state, 0, false, "z", 0, "h", 1, 100);
    }

    private static List<ListMerge.Entry> entries(long revision, Map<String, State> states) {
        return states.entrySet().stream()
                .map(each -> new ListMerge.Entry(each.getKey(), word(revision, each.getValue())))
                .toList();
    }

    private String take() {
        var out = new TreeMap<String, State>();
        merge.changes().forEach(entry -> out.put(entry.id(), entry.word().state()));
        given.putAll(out);
        return out.toString();
    }

    /**
     * Deltas and whole lists by this router's discovery, words by peers, late and doubled: the newest counts at each
     * step.
     */
    @Property(tries = 500, seed = "27")
    void inAnyOrderOfNewsTheNewestRevisionCounts(@ForAll Random random) {
        new ListMergeTest().play(random);
    }

    private void play(Random random) {
        record News(long revision, boolean whole, boolean byPeer, Map<String, State> states) {}
        var truth = new HashMap<String, State>();
        var news = new ArrayList<News>();
        for (long revision = 1; revision <= 12; revision++) {
            String id = "n" + random.nextInt(4);
            State state = State.values()[random.nextInt(3)];
            truth.remove(id);
            if (state != State.GONE) {
                truth.put(id, state);
            }
            news.add(
                    random.nextInt(3) == 0
                            ? new News(revision, true, false, Map.copyOf(truth))
                            : new News(revision, false, random.nextBoolean(), Map.of(id, state)));
        }
        news.addAll(List.copyOf(news.subList(0, 4)));
        Collections.shuffle(news, random);
        var newest = new HashMap<String, Long>();
        var expected = new HashMap<String, State>();
        for (News each : news) {
            for (String id : List.of("n0", "n1", "n2", "n3")) {
                if ((each.whole || each.states.containsKey(id)) && each.revision > newest.getOrDefault(id, 0L)) {
                    newest.put(id, each.revision);
                    expected.put(id, each.states.getOrDefault(id, State.GONE));
                }
            }
            if (each.byPeer) {
                each.states.forEach((id, state) -> peer("old:1", id, word(each.revision, state)));
            } else {
                merge.own("old:1", each.revision, each.whole, entries(each.revision, each.states), 100);
            }
            take();
            expected.forEach(
                    (id, state) -> assertEquals(state, given.getOrDefault(id, State.GONE), id + " after " + each));
        }
    }

    @Example
    void afterAMoveOnlyDrainsOfOthersHoldUntilTheNewSourceSpeaks() {
        var states = Map.of("a", State.READY, "b", State.DRAINING, "c", State.READY, "d", State.READY);
        merge.own("old:1", 50, true, entries(50, states), 100);
        assertEquals("{a=READY, b=DRAINING, c=READY, d=READY}", take());
        peer("new:1", "a", word(3, State.DRAINING));
        assertEquals("{}", take(), "the current source has its say");
        merge.moved("new:1");
        assertEquals("{a=DRAINING}", take(), "a peer that moved first has heard it");
        peer("old:1", "b", word(51, State.READY));
        peer("old:1", "c", word(51, State.DRAINING));
        peer("old:1", "d", word(51, State.READY).gone(51, 100));
        assertEquals("{c=DRAINING, d=GONE}", take(), "b drains on");
        merge.own("new:1", 4, false, entries(4, Map.of("c", State.READY)), 100);
        peer("old:1", "c", word(60, State.DRAINING));
        assertEquals("{c=READY}", take());
        merge.own("new:1", 5, true, entries(5, Map.of("a", State.DRAINING, "b", State.READY, "c", State.READY)), 100);
        assertEquals("{b=READY}", take());
        assertEquals(
                State.GONE,
                shared.get(Listed.KIND, Listed.key("new:1", "d")).state(),
                "peers are told what it leaves out");
        merge.moved("old:1");
        assertEquals("{c=DRAINING}", take(), "a drains on: what the old source said before the move is an older word");
        merge.own("old:1", 50, true, entries(50, Map.of("a", State.READY)), 100);
        assertEquals("{a=READY}", take(), "but what it says now counts, though it be nothing new");
    }

    @Example
    void peersAheadAreCountedAndWordsRenewedOnce() {
        merge.own("old:1", 50, true, entries(50, Map.of("a", State.READY)), 100);
        peer("old:1", "", word(53, State.READY));
        shared.merge(Listed.KIND, "a key of another release", word(1, State.DRAINING), 100);
        assertEquals(3, merge.behind());
        merge.renew(100 + Listed.KIND.retentionSeconds() / 4);
        assertEquals(100, shared.get(Listed.KIND, Listed.key("old:1", "a")).at());
        merge.renew(101 + Listed.KIND.retentionSeconds() / 2);
        assertEquals(
                101 + Listed.KIND.retentionSeconds() / 2,
                shared.get(Listed.KIND, Listed.key("old:1", "a")).at());
        assertEquals("{a=READY}", take());
        var late = new ListMerge("old:1", shared);
        assertFalse(late.changes().isEmpty(), "a router that starts has what its peers had heard");
    }

    private void peer(String source, String id, Listed word) {
        shared.merge(Listed.KIND, Listed.key(source, id), word, 100);
    }
}
