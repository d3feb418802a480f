package clayhook.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.DoubleConsumer;

/**
 * Events that wait for the next tick of the event loop; each receives the tick's clock time in seconds. Events of the
 * endpoint list run before all others of the same tick, so that requests are routed by the newest list. An event that
 * is added while events run waits for the tick after. Event loop only.
 */
final class EventInbox {
    private final Executor loop;
    private final Runnable tick;
    private List<DoubleConsumer> endpointEvents = new ArrayList<>();
    private List<DoubleConsumer> events = new ArrayList<>();
    private boolean tickScheduled;

    /** {@code tick} is executed on {@code loop} once for all events that were added since the last one. */
    EventInbox(Executor loop, Runnable tick) {
        this.loop = loop;
        this.tick = tick;
    }

    void add(DoubleConsumer event) {
        events.add(event);
        ensureTickScheduled();
    }

    /** Adds an event that concerns the endpoint list. */
    void addEndpointEvent(DoubleConsumer event) {
        endpointEvents.add(event);
        ensureTickScheduled();
    }

    private void ensureTickScheduled() {
        if (!tickScheduled) {
            scheduleTick();
        }
    }

    /** Schedules a tick, whether or not there are events. */
    void scheduleTick() {
        tickScheduled = true;
        loop.execute(tick);
    }

    /** A tick begins: events that are added from now on schedule another one. */
    void onTickStarted() {
        tickScheduled = false;
    }

    /** Runs the events that are here now; one that fails is logged and the others run all the same. */
    void runAll(double now) {
        List<DoubleConsumer> first = endpointEvents;
        List<DoubleConsumer> then = events;
        endpointEvents = new ArrayList<>();
        events = new ArrayList<>();
        runEach(first, now);
        runEach(then, now);
    }

    private static void runEach(List<DoubleConsumer> batch, double now) {
        batch.forEach(event -> FaultBarrier.run(() -> event.accept(now)));
    }
}
