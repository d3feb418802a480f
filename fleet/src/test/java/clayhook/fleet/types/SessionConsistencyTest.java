package clayhook.fleet.types;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests which position a session's read must cover, and the snapshots from which request threads read it. */
class SessionConsistencyTest {
    private final SharedMemoryStore store = new SharedMemoryStore();
    private final SessionConsistency consistency = new SessionConsistency(store, 2);

    @Example
    void readRequiresTheKnownWriteOrTheRoamWindow() {
        assertEquals(998, consistency.requiredPosition("s", 1000), "before the first publication");
        store.merge(SessionWrite.TYPE, "s", new SessionWrite(990, 1), 1000);
        store.completeUpTo = 998;
        consistency.publish(1000);
        assertEquals(990, consistency.requiredPosition("s", 1000), "the replica is complete up to the roam window");
        assertEquals(999, consistency.requiredPosition("s", 1001), "the replica is not complete up to the roam window");
        assertEquals(
                1000 - SessionWrite.RETENTION_SECONDS,
                consistency.requiredPosition("t", 1000),
                "older writes are not retained");
        assertEquals(Double.NEGATIVE_INFINITY, consistency.requiredPosition(null, 1001), "no session");
        store.evictionFloor = 995;
        assertEquals(990, consistency.requiredPosition("s", 1000), "the last published snapshot applies");
        consistency.publish(1000.1);
        assertEquals(995, consistency.requiredPosition("s", 1000));
        store.merge(SessionWrite.TYPE, "s", new SessionWrite(999, 1), 1000);
        consistency.publish(1000.2);
        store.merge(SessionWrite.TYPE, "s", new SessionWrite(999.5, 1), 1000);
        assertEquals(999, consistency.requiredPosition("s", 1000), "the last published snapshot applies");
    }

    /** Applies random raises and removals of positions over successive snapshots. */
    @Property(tries = 30, seed = "27")
    void snapshotMatchesAPlainMap(@ForAll Random random) {
        var expected = new HashMap<String, Double>();
        SessionWriteSnapshot snapshot = SessionWriteSnapshot.EMPTY;
        double floor = 0;
        for (int round = 0; round < 10; round++) {
            var builder = new SessionWriteSnapshot.Builder(snapshot);
            SessionWriteSnapshot before = snapshot;
            var expectedBefore = new HashMap<>(expected);
            for (int i = random.nextInt(3000); i > 0; i--) {
                if (random.nextInt(1000) == 0) {
                    floor = 10 * round;
                    double from = floor;
                    for (int shard = 0; shard < SessionWriteSnapshot.SHARD_COUNT; shard++) {
                        builder.removeBefore(shard, from);
                    }
                    expected.values().removeIf(position -> position < from);
                }
                String session = "s" + random.nextInt(5000);
                double position = random.nextInt(100) + 9 * round;
                builder.raise(session, position);
                expected.merge(session, position, Math::max);
            }
            snapshot = builder.build(floor, 0);
            SessionWriteSnapshot after = snapshot;
            expected.forEach((session, position) -> assertEquals(position, after.position(session), session));
            expectedBefore.forEach((session, position) ->
                    assertEquals(position, before.position(session), "the previous snapshot has changed"));
            for (int i = 0; i < 5000; i++) {
                assertEquals(expected.containsKey("s" + i), after.position("s" + i) > Double.NEGATIVE_INFINITY);
            }
        }
    }

    @Example
    void fullShardEvictsTheOldestAndRaisesTheFloor() {
        var sessionsOfOneShard = IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "s" + i)
                .filter(name -> SessionWriteSnapshot.shardOf(name) == 7)
                .limit(SessionWriteSnapshot.MAX_ENTRIES_PER_SHARD + 10)
                .toList();
        sessionsOfOneShard.forEach(name -> store.merge(
                SessionWrite.TYPE, name, new SessionWrite(2000 + sessionsOfOneShard.indexOf(name), 0), 2000));
        consistency.publish(2000);
        assertEquals(2009, consistency.snapshot().evictionFloor());
        assertEquals(2009, consistency.requiredPosition(sessionsOfOneShard.get(9), 2000));
        store.merge(SessionWrite.TYPE, "new", new SessionWrite(2000.5, 0), 2000);
        for (int i = 0; i < SessionWriteSnapshot.SHARD_COUNT; i++) {
            consistency.publish(2000 + 2 * SessionWrite.RETENTION_SECONDS + 500);
        }
        assertEquals(Double.NEGATIVE_INFINITY, consistency.snapshot().position("new"), "expired");
        assertTrue(consistency.snapshot().evictionFloor() > 2001, "the floor is above the expired positions");
    }

    /** One thread writes and publishes while other threads read. */
    @Test
    @Timeout(30)
    void requiredPositionNeverDecreasesForAReader() throws InterruptedException {
        int sessions = 200;
        int rounds = 3000;
        int readers = 3;
        store.completeUpTo = Double.POSITIVE_INFINITY;
        consistency.publish(1000); // an incomplete replica would require the higher position of the roam window
        var violation = new AtomicReference<String>();
        var started = new CountDownLatch(readers);
        Runnable reader = () -> {
            var last = new double[sessions];
            for (boolean first = true; last[0] < 1000 + rounds && violation.get() == null; ) {
                for (int i = sessions - 1; i >= 0; i--) {
                    double required = consistency.requiredPosition("s" + i, 1000);
                    if (required < last[i]) {
                        violation.set("s" + i + " went from " + last[i] + " to " + required);
                    }
                    last[i] = required;
                }
                if (first) {
                    started.countDown();
                    first = false;
                }
            }
        };
        var threads = new Thread[readers];
        for (int i = 0; i < readers; i++) {
            threads[i] = new Thread(reader);
            threads[i].start();
        }
        started.await();
        var random = new Random(7);
        for (int round = 1; round <= rounds; round++) {
            store.merge(
                    SessionWrite.TYPE,
                    "s" + random.nextInt(sessions),
                    new SessionWrite(1000 + random.nextInt(round), 0),
                    1000);
            store.merge(SessionWrite.TYPE, "s0", new SessionWrite(1000 + round, 0), 1000);
            consistency.publish(1000);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertNull(violation.get());
    }
}
