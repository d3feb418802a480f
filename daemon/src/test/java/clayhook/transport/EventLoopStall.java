package clayhook.transport;

import io.netty.channel.EventLoop;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;

/** Stalls an event loop in a test, which simulates a process that gets no processor time. */
public final class EventLoopStall {
    private EventLoopStall() {}

    /** Runs a step on the calling thread while the event loop is stalled. */
    public static void during(EventLoop loop, Callable<?> step) throws Exception {
        during(loop, step, () -> {});
    }

    /**
     * Runs a step on the calling thread while the event loop is stalled.
     *
     * @param afterStep runs on the event loop after the step, before the loop reads input received during the stall
     */
    public static void during(EventLoop loop, Callable<?> step, Runnable afterStep) throws Exception {
        var stalled = new CountDownLatch(1);
        var stepDone = new CountDownLatch(1);
        Future<?> stall = loop.submit(() -> {
            stalled.countDown();
            stepDone.await();
            afterStep.run();
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
