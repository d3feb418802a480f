package clayhook.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.DoubleConsumer;

/**
 * The queue of events for the next tick of the event loop; each event receives the clock time of the tick in seconds.
 * Events that concern the endpoint list run before all others of the same tick, so that requests are routed by the
 * newest list. An event that is added while events run is deferred to the following tick. Event loop only.
 */
final class EventInbox {
    private final Executor loop;
    private final Runnable tick;
    private List<DoubleConsumer> endpointEvents = new ArrayList<>();
    private List<DoubleConsumer> events = new ArrayList<>();
    private boolean tickScheduled;

    /** Creates an empty inbox, which executes {@code tick} on {@code loop} once for all events added since the last. */
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

    /** Schedules a tick even if there are no events. */
    void scheduleTick() {
        tickScheduled = true;
        loop.execute(tick);
    }

    /** Called at the start of a tick; events that are added later schedule another tick. */
    void onTickStarted() {
        tickScheduled = false;
    }

    /** Runs the events added so far. The failure of an event is logged and does not prevent the others from running. */
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
