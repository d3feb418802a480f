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

class SessionConsistencyTest {
    private final SharedMemoryStore store = new SharedMemoryStore();
    private final SessionConsistency consistency = new SessionConsistency(store, 2);

    @Example
    void readRequiresTheKnownWriteOrTheRoamWindow() {
        assertEquals(998, consistency.requiredPosition("s", 1000), "nothing was published yet");
        store.merge(SessionWrite.TYPE, "s", new SessionWrite(990, 1), 1000);
        store.certainUpTo = 998;
        consistency.publish(1000);
        assertEquals(990, consistency.requiredPosition("s", 1000), "certain up to where it is asked");
        assertEquals(999, consistency.requiredPosition("s", 1001), "not certain any more");
        assertEquals(
                1000 - SessionWrite.RETENTION_SECONDS,
                consistency.requiredPosition("t", 1000),
                "older marks were not kept");
        assertEquals(Double.NEGATIVE_INFINITY, consistency.requiredPosition(null, 1001), "no session");
        store.floor = 995;
        assertEquals(990, consistency.requiredPosition("s", 1000), "as published");
        consistency.publish(1000.1);
        assertEquals(995, consistency.requiredPosition("s", 1000));
        store.merge(SessionWrite.TYPE, "s", new SessionWrite(999, 1), 1000);
        consistency.publish(1000.2);
        store.merge(SessionWrite.TYPE, "s", new SessionWrite(999.5, 1), 1000);
        assertEquals(999, consistency.requiredPosition("s", 1000), "as published");
    }

    /** Under random raises, forgetting and publishing. */
    @Property(tries = 30, seed = "27")
    void snapshotMatchesAPlainMap(@ForAll Random random) {
        var plain = new HashMap<String, Double>();
        SessionWriteSnapshot snapshot = SessionWriteSnapshot.EMPTY;
        double floor = 0;
        for (int round = 0; round < 10; round++) {
            var draft = new SessionWriteSnapshot.Builder(snapshot);
            SessionWriteSnapshot before = snapshot;
            var then = new HashMap<>(plain);
            for (int i = random.nextInt(3000); i > 0; i--) {
                if (random.nextInt(1000) == 0) {
                    double from = floor = 10 * round;
                    for (int shard = 0; shard < SessionWriteSnapshot.SHARD_COUNT; shard++) {
                        draft.removeBefore(shard, from);
                    }
                    plain.values().removeIf(position -> position < from);
                }
                String session = "s" + random.nextInt(5000);
                double position = random.nextInt(100) + 9 * round;
                draft.raise(session, position);
                plain.merge(session, position, Math::max);
            }
            snapshot = draft.build(floor, 0);
            SessionWriteSnapshot after = snapshot;
            plain.forEach((session, position) -> assertEquals(position, after.position(session), session));
            then.forEach((session, position) -> assertEquals(position, before.position(session), "changed"));
            for (int i = 0; i < 5000; i++) {
                assertEquals(plain.containsKey("s" + i), after.position("s" + i) > Double.NEGATIVE_INFINITY);
            }
        }
    }

    @Example
    void fullShardEvictsTheOldestAndRaisesTheFloor() {
        var meeting = IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "s" + i)
                .filter(name -> SessionWriteSnapshot.shardOf(name) == 7)
                .limit(SessionWriteSnapshot.MAX_ENTRIES_PER_SHARD + 10)
                .toList();
        meeting.forEach(
                name -> store.merge(SessionWrite.TYPE, name, new SessionWrite(2000 + meeting.indexOf(name), 0), 2000));
        consistency.publish(2000);
        assertEquals(2009, consistency.snapshot().evictionFloor());
        assertEquals(2009, consistency.requiredPosition(meeting.get(9), 2000));
        store.merge(SessionWrite.TYPE, "new", new SessionWrite(2000.5, 0), 2000);
        for (int i = 0; i < SessionWriteSnapshot.SHARD_COUNT; i++) {
            consistency.publish(2000 + 2 * SessionWrite.RETENTION_SECONDS + 500);
        }
        assertEquals(Double.NEGATIVE_INFINITY, consistency.snapshot().position("new"), "its time is over");
        assertTrue(consistency.snapshot().evictionFloor() > 2001, "and the floor is above it");
    }

    /** One thread feeds and publishes while others ask: for none of them a session's mark goes back. */
    @Test
    @Timeout(30)
    void requiredPositionNeverDecreasesForAReader() throws InterruptedException {
        int sessions = 200, rounds = 3000, readers = 3;
        store.certainUpTo = Double.POSITIVE_INFINITY;
        consistency.publish(1000); // what was not certain before stood higher, and no mark of a session
        var wrong = new AtomicReference<String>();
        var started = new CountDownLatch(readers);
        Runnable reading = () -> {
            var last = new double[sessions];
            for (boolean first = true; last[0] < 1000 + rounds && wrong.get() == null; ) {
                for (int i = sessions - 1; i >= 0; i--) {
                    double need = consistency.requiredPosition("s" + i, 1000);
                    if (need < last[i]) {
                        wrong.set("s" + i + " went from " + last[i] + " to " + need);
                    }
                    last[i] = need;
                }
                if (first) {
                    started.countDown();
                    first = false;
                }
            }
        };
        var threads = new Thread[readers];
        for (int i = 0; i < readers; i++) {
            threads[i] = new Thread(reading);
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
        assertNull(wrong.get());
    }
}
