package clayhook.fleet.kinds;

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

class SessionNeedsTest {
    private final Memory shared = new Memory();
    private final SessionNeeds needs = new SessionNeeds(shared, 2);

    @Example
    void aReadCoversWhatIsKnownOrMayBeMissing() {
        assertEquals(998, needs.need("s", 1000), "nothing was published yet");
        shared.merge(Mark.KIND, "s", new Mark(990, 1), 1000);
        shared.certainUpTo = 998;
        needs.publish(1000);
        assertEquals(990, needs.need("s", 1000), "certain up to where it is asked");
        assertEquals(999, needs.need("s", 1001), "not certain any more");
        assertEquals(1000 - Mark.KEEP, needs.need("t", 1000), "older marks were not kept");
        assertEquals(Double.NEGATIVE_INFINITY, needs.need(null, 1001), "no session");
        shared.floor = 995;
        assertEquals(990, needs.need("s", 1000), "as published");
        needs.publish(1000.1);
        assertEquals(995, needs.need("s", 1000));
        shared.merge(Mark.KIND, "s", new Mark(999, 1), 1000);
        needs.publish(1000.2);
        shared.merge(Mark.KIND, "s", new Mark(999.5, 1), 1000);
        assertEquals(999, needs.need("s", 1000), "as published");
    }

    /** Under random raises, forgetting and publishing. */
    @Property(tries = 30, seed = "27")
    void aSnapshotEqualsAPlainMap(@ForAll Random random) {
        var plain = new HashMap<String, Double>();
        MarkSnapshot snapshot = MarkSnapshot.EMPTY;
        double floor = 0;
        for (int round = 0; round < 10; round++) {
            var draft = new MarkSnapshot.Draft(snapshot);
            MarkSnapshot before = snapshot;
            var then = new HashMap<>(plain);
            for (int i = random.nextInt(3000); i > 0; i--) {
                if (random.nextInt(1000) == 0) {
                    double from = floor = 10 * round;
                    for (int shard = 0; shard < MarkSnapshot.SHARDS; shard++) {
                        draft.forget(shard, from);
                    }
                    plain.values().removeIf(position -> position < from);
                }
                String session = "s" + random.nextInt(5000);
                double position = random.nextInt(100) + 9 * round;
                draft.raise(session, position);
                plain.merge(session, position, Math::max);
            }
            snapshot = draft.done(floor, 0);
            MarkSnapshot after = snapshot;
            plain.forEach((session, position) -> assertEquals(position, after.position(session), session));
            then.forEach((session, position) -> assertEquals(position, before.position(session), "changed"));
            for (int i = 0; i < 5000; i++) {
                assertEquals(plain.containsKey("s" + i), after.position("s" + i) > Double.NEGATIVE_INFINITY);
            }
        }
    }

    @Example
    void atTheBoundOfAShardTheOldestGoAndTheFloorRises() {
        var meeting = IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "s" + i)
                .filter(name -> MarkSnapshot.shard(name) == 7)
                .limit(MarkSnapshot.MOST_IN_SHARD + 10)
                .toList();
        meeting.forEach(name -> shared.merge(Mark.KIND, name, new Mark(2000 + meeting.indexOf(name), 0), 2000));
        needs.publish(2000);
        assertEquals(2009, needs.snapshot().floor());
        assertEquals(2009, needs.need(meeting.get(9), 2000));
        shared.merge(Mark.KIND, "new", new Mark(2000.5, 0), 2000);
        for (int i = 0; i < MarkSnapshot.SHARDS; i++) {
            needs.publish(2000 + 2 * Mark.KEEP + 500);
        }
        assertEquals(Double.NEGATIVE_INFINITY, needs.snapshot().position("new"), "its time is over");
        assertTrue(needs.snapshot().floor() > 2001, "and the floor is above it");
    }

    /** One thread feeds and publishes while others ask: for none of them a session's mark goes back. */
    @Test
    @Timeout(30)
    void aMarkNeverGoesBackForAReader() throws InterruptedException {
        int sessions = 200, rounds = 3000, readers = 3;
        shared.certainUpTo = Double.POSITIVE_INFINITY;
        needs.publish(1000); // what was not certain before stood higher, and no mark of a session
        var wrong = new AtomicReference<String>();
        var started = new CountDownLatch(readers);
        Runnable reading = () -> {
            var last = new double[sessions];
            for (boolean first = true; last[0] < 1000 + rounds && wrong.get() == null; ) {
                for (int i = sessions - 1; i >= 0; i--) {
                    double need = needs.need("s" + i, 1000);
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
            shared.merge(Mark.KIND, "s" + random.nextInt(sessions), new Mark(1000 + random.nextInt(round), 0), 1000);
            shared.merge(Mark.KIND, "s0", new Mark(1000 + round, 0), 1000);
            needs.publish(1000);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertNull(wrong.get());
    }
}
