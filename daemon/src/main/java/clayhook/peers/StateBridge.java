package clayhook.peers;

import clayhook.discovery.EndpointList;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Outbox;
import clayhook.fleet.ProtocolHandler;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.types.ListedEndpoint;
import clayhook.fleet.types.NodeObservation;
import clayhook.fleet.types.QuotaUsage;
import clayhook.fleet.types.SessionWrite;
import clayhook.fleet.types.WriteOutcome;
import clayhook.sharing.PeerSharing;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;

/**
 * Connects the event loop with the replicated store: passes each local event to the component that publishes it, and
 * ticks these components, which deliver values published by peers to the event loop. Confined to the gossip thread,
 * except {@link #requiredPosition} and {@link #remainingQuota}.
 */
public final class StateBridge implements ProtocolHandler {
    /** Seconds between two computations of quotas, and between two renewals of published endpoint lists. */
    private static final double SLOW_INTERVAL = 0.25;

    /** The replicated types that the operator has enabled; {@code writeOutcomes} is null if it is disabled. */
    public record EnabledTypes(
            boolean observations,
            boolean endpointLists,
            boolean sessionWrites,
            ReplicatedType<WriteOutcome> writeOutcomes,
            boolean quotas) {
        /** The enabled types, in the order of their numbers on the wire. */
        public List<ReplicatedType<?>> types() {
            var types = new ArrayList<ReplicatedType<?>>();
            if (observations) {
                types.add(NodeObservation.TYPE);
            }
            if (endpointLists) {
                types.add(ListedEndpoint.TYPE);
            }
            if (sessionWrites) {
                types.add(SessionWrite.TYPE);
            }
            if (writeOutcomes != null) {
                types.add(writeOutcomes);
            }
            if (quotas) {
                types.add(QuotaUsage.TYPE);
            }
            return types;
        }
    }

    private final ReplicatedStore store;
    private final EnabledTypes enabledTypes;
    // Each of the following components is null if its type is disabled.
    private final ObservationSharing observations;
    private final EndpointListSharing endpointLists;
    private final SessionWriteSharing sessionWrites;
    private final WriteOutcomeSharing writeOutcomes;
    private final QuotaSharing quotas;
    private double nextSlowTickAt;
    private long rejectedEvents;

    /**
     * Creates the components and registers them with the store. Must be called before the store receives any messages.
     *
     * @param roamDelay the minimum time in seconds between the answer to a session's write and the session's first
     *     request at another router
     * @param configuredRouters the configured number of routers in the fleet, at least 1
     * @param discoveryName host and port of this router's discovery service
     * @param eventLoop the executor that calls {@code listener}
     */
    public StateBridge(
            EnabledTypes enabledTypes,
            double roamDelay,
            int configuredRouters,
            String discoveryName,
            ReplicatedStore store,
            MembershipView membership,
            SplittableRandom random,
            Executor eventLoop,
            PeerSharing.PeerListener listener) {
        this.enabledTypes = enabledTypes;
        this.store = store;
        observations = enabledTypes.observations()
                ? new ObservationSharing(store, membership, random, eventLoop, listener::onPeerUpdate)
                : null;
        endpointLists = enabledTypes.endpointLists()
                ? new EndpointListSharing(discoveryName, store, eventLoop, listener::onPeerUpdate)
                : null;
        sessionWrites = enabledTypes.sessionWrites() ? new SessionWriteSharing(store, roamDelay) : null;
        writeOutcomes = enabledTypes.writeOutcomes() != null
                ? new WriteOutcomeSharing(store, membership, enabledTypes.writeOutcomes())
                : null;
        quotas = enabledTypes.quotas() ? new QuotaSharing(store, membership, configuredRouters) : null;
    }

    /** Applies an event of the event loop. An event with a value that cannot be published is dropped and counted. */
    public void accept(LocalEvent event, double now) {
        try {
            apply(event, now);
        } catch (IllegalArgumentException e) {
            rejectedEvents++;
        }
    }

    private void apply(LocalEvent event, double now) {
        if (event instanceof LocalEvent.AttemptFinished finished && observations != null) {
            observations.record(finished);
        } else if (event instanceof LocalEvent.EndpointListReceived received) {
            onEndpointList(received, now);
        } else if (event instanceof LocalEvent.DiscoveryMoved moved && endpointLists != null) {
            endpointLists.onDiscoveryMoved(moved.source());
        } else if (event instanceof LocalEvent.SessionWriteCommitted committed && sessionWrites != null) {
            sessionWrites.record(committed);
        } else if (event instanceof LocalEvent.WriteFinished finished && writeOutcomes != null) {
            writeOutcomes.record(finished, now);
        } else if (event instanceof LocalEvent.QuotaUsed used && quotas != null) {
            quotas.record(used, now);
        }
    }

    private void onEndpointList(LocalEvent.EndpointListReceived received, double now) {
        updateKnownNodes(received.list());
        if (endpointLists != null) {
            endpointLists.onEndpointList(received.source(), received.list(), now);
        }
    }

    /** Updates the known nodes without publishing the list, such as one read from this router's configuration file. */
    public void updateKnownNodes(EndpointList list) {
        if (observations != null) {
            observations.updateKnownNodes(list);
        }
    }

    @Override
    public double tick(double now, Outbox out) {
        double next = observations == null ? now + SLOW_INTERVAL : observations.tick(now);
        if (writeOutcomes != null) {
            writeOutcomes.tick(now);
        }
        if (now >= nextSlowTickAt) {
            nextSlowTickAt = now + SLOW_INTERVAL;
            slowTick(now);
        }
        if (endpointLists != null) {
            endpointLists.deliverChanges();
        }
        return sessionWrites == null ? next : Math.min(next, sessionWrites.tick(now));
    }

    private void slowTick(double now) {
        if (endpointLists != null) {
            endpointLists.renew(now);
        }
        if (quotas != null) {
            quotas.tick(now);
        }
    }

    /** Requests the publication of pending session writes on the next tick, regardless of the last publication. */
    void publishOnNextTick() {
        if (sessionWrites != null) {
            sessionWrites.publishOnNextTick();
        }
    }

    /** The position that a read of the session must cover, in seconds since 1970; 0 for none. For any thread. */
    public double requiredPosition(String session, double now) {
        return sessionWrites == null ? 0 : sessionWrites.requiredPosition(session, now);
    }

    /** The units of a quota that remain for this router; infinite if quotas are not shared. For any thread. */
    double remainingQuota(PeerSharing.SharedQuota quota) {
        return quotas == null ? Double.POSITIVE_INFINITY : quotas.remaining(quota);
    }

    /** A summary for the log: digest and size of each replicated type, completeness of the store, and counters. */
    String summary(double now) {
        var text = new StringBuilder("digests");
        for (ReplicatedType<?> type : enabledTypes.types()) {
            text.append(' ').append(type.name()).append('=');
            text.append(Long.toHexString(store.digest(type, now))).append('/').append(store.size(type));
        }
        double completeUpTo = store.completeUpTo(now);
        text.append(
                completeUpTo == Double.NEGATIVE_INFINITY
                        ? ", not complete"
                        : ", complete up to " + roundToTenths(now - completeUpTo) + " s ago");
        if (endpointLists != null) {
            text.append(", endpoint list behind ").append(endpointLists.revisionsBehind());
        }
        if (writeOutcomes != null) {
            text.append(", fates ").append(writeOutcomes.counts());
        }
        if (quotas != null && quotas.isPartitioned(now)) {
            text.append(", partitioned");
        }
        long rejectedValues = rejectedEvents + (endpointLists == null ? 0 : endpointLists.rejectedValues());
        return text.append(", rejected values ").append(rejectedValues).toString();
    }

    private static double roundToTenths(double seconds) {
        return Math.round(seconds * 10) / 10.0;
    }
}
