package clayhook.sharing;

import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.PeerObservation;
import clayhook.config.SharingSettings;
import clayhook.discovery.EndpointList;
import clayhook.frontend.ClientRequest;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.Executor;

/**
 * Exchange of state with the other routers of the fleet. All methods but {@link #leave} and {@link #close} are called
 * on the event loop, or before it runs; each returns at once, and a failure behind it does not affect requests.
 */
public interface PeerSharing {
    /** Receives what peers share; called on the event loop. */
    interface PeerListener {
        /** Peers have observed these nodes, by their ids. */
        void onPeerUpdate(Map<String, PeerObservation> observations);

        /**
         * Lists that the discovery service this router uses now has sent, perhaps to peers only; or those of another
         * service for endpoints that it does not list.
         */
        void onPeerUpdate(Collection<EndpointList> changes);
    }

    /** What all routers together may use a limited amount of: health checks, and attempts beyond a request's first. */
    enum SharedQuota {
        HEALTH_CHECKS,
        FURTHER_ATTEMPTS
    }

    /** Prepares for the calls below. {@code discovery} is where the endpoint list comes from. */
    void attach(Executor loop, InetSocketAddress discovery, PeerListener listener);

    /** Begins to send to peers and to receive from them. */
    void start();

    /** An attempt or a health check at a node has ended, at {@code now} in seconds since 1970. */
    void recordObservation(Node node, AttemptResult result, double now);

    /** The discovery service at that address has sent a list. */
    void recordEndpointList(InetSocketAddress discovery, EndpointList list);

    /** The discovery service is at that address from now on. */
    void discoveryMoved(InetSocketAddress discovery);

    /** The position that a read of the session must cover, in seconds since 1970; 0 for none. */
    double requiredPosition(String session, double now);

    /** A write of the session was committed in a replica set at that position, in seconds since 1970. */
    void recordSessionWrite(String session, int replicaSetId, double position);

    /** A write has run at that node; null where it has its final answer and may or may not have run. */
    void recordWriteOutcome(ClientRequest request, Node ranAt, double now);

    /** This router has used so many units of a quota. */
    void recordQuotaUse(SharedQuota quota, int units);

    /** This router's remaining units as computed last; infinite where the quota is not shared. */
    double remainingQuota(SharedQuota quota);

    /** Applies the seeds of reloaded settings; the others take a restart. */
    void reload(SharingSettings settings);

    /** Tells peers that this router leaves, and closes; takes at most 0.2 s. For any thread. */
    void leave();

    /** Closes at once. For any thread. */
    void close();
}
