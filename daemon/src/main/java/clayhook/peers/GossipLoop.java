package clayhook.peers;

import clayhook.fleet.Member;
import clayhook.fleet.MessageDispatcher;
import clayhook.fleet.members.Membership;
import clayhook.fleet.state.ReplicatedState;
import clayhook.log.Log;
import clayhook.transport.SlewedClock;
import java.io.IOException;
import java.util.List;

/**
 * The main loop of the gossip thread: applies local events, receives datagrams, ticks the protocols, and waits. It
 * closes the datagram endpoint when it ends. A runtime exception aborts only the event, datagram or tick that threw it
 * and never ends the thread.
 */
final class GossipLoop implements Runnable {
    /** Seconds to wait after work or during a flood of datagrams; short compared to the interval of gossip rounds. */
    private static final double SHORT_WAIT = 0.02;
    /**
     * Seconds for which the leave announcement is sent repeatedly, since datagrams may be lost; part of the shutdown
     * time.
     */
    private static final double LEAVE_DURATION = 0.1;

    private final DatagramEndpoint endpoint;
    private final EventQueue eventQueue;
    private final SlewedClock clock;
    private final StopRequest stopRequest;
    private final Membership membership;
    private final StateBridge bridge;
    private final MessageDispatcher dispatcher;
    private final double logInterval;
    private double nextLogAt;
    private long failures;

    /** {@code logInterval}: seconds between two summaries in the log, and before the first one. */
    GossipLoop(
            DatagramEndpoint endpoint,
            EventQueue eventQueue,
            SlewedClock clock,
            StopRequest stopRequest,
            Membership membership,
            StateBridge bridge,
            ReplicatedState state,
            double logInterval,
            double now) {
        this.endpoint = endpoint;
        this.eventQueue = eventQueue;
        this.clock = clock;
        this.stopRequest = stopRequest;
        this.membership = membership;
        this.bridge = bridge;
        this.logInterval = logInterval;
        nextLogAt = now + logInterval;
        Member self = membership.self().member();
        var leaveAnnouncer = new LeaveAnnouncer(stopRequest, membership, bridge);
        // The state is ticked last, so that values that the bridge publishes are sent in the same tick.
        dispatcher = new MessageDispatcher(self, List.of(membership, leaveAnnouncer, bridge, state), endpoint::send);
    }

    @Override
    public void run() {
        try (endpoint) {
            double leaveAt = Double.POSITIVE_INFINITY;
            while (!stopRequest.isClosing() && clock.now() < leaveAt) {
                if (stopRequest.isLeaving() && leaveAt == Double.POSITIVE_INFINITY) {
                    leaveAt = clock.now() + LEAVE_DURATION;
                }
                runIteration();
            }
        } catch (IOException | RuntimeException | Error e) {
            Log.error("sharing has ended, the router serves on", e);
        }
    }

    private void runIteration() throws IOException {
        double now = clock.now();
        int applied = eventQueue.drain(event -> runGuarded(() -> apply(event, now)));
        boolean moreDatagrams =
                endpoint.receive((from, bytes) -> runGuarded(() -> dispatcher.onDatagram(from, bytes, clock.now())));
        double nextTickAt = tick(now);
        if (now >= nextLogAt) {
            nextLogAt = now + logInterval;
            runGuarded(() -> logSummary(now));
        }
        boolean queueEmpty = applied == 0 && eventQueue.beginWait();
        endpoint.await(waitSeconds(moreDatagrams, applied, queueEmpty, nextTickAt - now), moreDatagrams);
        eventQueue.endWait();
    }

    private double waitSeconds(boolean moreDatagrams, int applied, boolean queueEmpty, double untilNextTick) {
        if (moreDatagrams || stopRequest.isLeaving()) {
            return SHORT_WAIT;
        }
        if (applied > 0) {
            return Math.min(SHORT_WAIT, untilNextTick);
        }
        return queueEmpty ? untilNextTick : 0;
    }

    private void apply(LocalEvent event, double now) {
        if (event instanceof LocalEvent.SeedsChanged changed) {
            membership.addSeeds(changed.seeds());
        } else {
            bridge.accept(event, now);
        }
    }

    /** Ticks the protocols; returns when the next tick is due, in seconds since 1970, soon if this one failed. */
    private double tick(double now) {
        var next = new double[] {now + SHORT_WAIT};
        runGuarded(() -> next[0] = dispatcher.tick(now));
        return next[0];
    }

    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            if (failures++ == 0) {
                Log.error("sharing failed", e);
            } else {
                Log.warn("sharing failed", "sharing failed again: " + e);
            }
        }
    }

    private void logSummary(double now) {
        MessageDispatcher.TrafficCounters traffic = dispatcher.counters();
        var text = new StringBuilder("sharing: members ")
                .append(1 + membership.possiblyServing(now).size());
        text.append(" alive ").append(1 + membership.livePeers().size());
        text.append(", ").append(bridge.summary(now));
        text.append(", packets in ").append(traffic.receivedPackets);
        text.append(" out ").append(traffic.sentPackets);
        text.append(", bytes out ").append(traffic.sentBytes);
        text.append(", dropped ").append(traffic.droppedByReason);
        text.append(", oversized ").append(endpoint.oversizedDatagrams());
        text.append(", unsent ").append(endpoint.unsentPackets());
        text.append(", messages skipped ").append(traffic.skippedMessages);
        text.append(", names rejected ").append(membership.rejectedNames());
        text.append(", events dropped ").append(eventQueue.droppedReplaceable());
        text.append(" lost ").append(eventQueue.droppedEssential());
        text.append(failures > 0 ? ", failures " + failures : "");
        text.append(membership.recentlyStalled(now) ? ", stalled" : "");
        text.append(membership.isSuperseded() ? ", superseded" : "");
        Log.info(text.toString());
    }
}
