package clayhook.peers;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;
import org.jctools.queues.MpscChunkedArrayQueue;

/**
 * The way from the router's loop to the peers' thread. Who puts news in never waits; what finds no room is dropped and
 * counted. The thread empties it each turn.
 */
final class Outbound {
    /** What can be told again: some seconds of answers at the busiest. */
    static final int PASSING = 1 << 13;
    /** What cannot: grows by need up to minutes of it. */
    static final int LASTING = 1 << 17;

    private static final int LASTING_AT_FIRST = 1 << 8;
    /** Taken in one turn, a few milliseconds of it. */
    private static final int MOST_AT_ONCE = 1 << 12;

    private final Queue<News> passing = new MpscArrayQueue<>(PASSING);
    private final Queue<News> lasting = new MpscChunkedArrayQueue<>(LASTING_AT_FIRST, LASTING);
    private final LongAdder dropped = new LongAdder();
    private final LongAdder lost = new LongAdder();
    private final Runnable waker;
    /** The thread waits for news, not for a moment. */
    private volatile boolean dozing;

    /** {@code waker} ends the wait of the thread; may be called from any. */
    Outbound(Runnable waker) {
        this.waker = waker;
    }

    /** For the router's loop. */
    void add(News news) {
        boolean again = news instanceof News.Looked || news instanceof News.Used;
        if (!(again ? passing : lasting).offer(news)) {
            (again ? dropped : lost).increment();
        } else if (dozing) {
            dozing = false;
            waker.run();
        }
    }

    /** Hands over what is there; returns how much. */
    int drain(Consumer<News> to) {
        int count = 0;
        for (Queue<News> queue : List.of(lasting, passing)) {
            for (News news; count < MOST_AT_ONCE && (news = queue.poll()) != null; count++) {
                to.accept(news);
            }
        }
        return count;
    }

    /** From now on news ends the wait; false where some is there already. */
    boolean doze() {
        dozing = true; // before the look, so that what is put in after it sees it
        dozing = passing.isEmpty() && lasting.isEmpty();
        return dozing;
    }

    void wakened() {
        dozing = false;
    }

    /** News that will be told again and found no room, since the start. */
    long dropped() {
        return dropped.sum();
    }

    /** The same of news that will not: others may lack it for good. */
    long lost() {
        return lost.sum();
    }
}
