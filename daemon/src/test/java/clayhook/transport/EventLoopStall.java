package clayhook.transport;

import io.netty.channel.EventLoop;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;

/** Stalls an event loop for a test, as one whose process gets no processor time. */
public final class EventLoopStall {
    private EventLoopStall() {}

    /** Runs a step on the calling thread while the loop stalls. */
    public static void during(EventLoop loop, Callable<?> step) throws Exception {
        during(loop, step, () -> {});
    }

    /**
     * Runs a step on the calling thread while the loop stalls.
     *
     * @param afterwards runs on the loop once the step is done, before the loop reads anything that came meanwhile
     */
    public static void during(EventLoop loop, Callable<?> step, Runnable afterwards) throws Exception {
        var stalled = new CountDownLatch(1);
        var stepDone = new CountDownLatch(1);
        Future<?> stall = loop.submit(() -> {
            stalled.countDown();
            stepDone.await();
            afterwards.run();
            return null;
        });
        stalled.await();
        try {
            step.call();
        } finally {
            stepDone.countDown();
        }
        stall.get();
    }
}
