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
 * Exchange of state with the other routers of the fleet. All methods except {@link #leave} and {@link #close} are
 * called on the event loop, or before it runs. They return at once, and a failure of the exchange does not affect
 * requests.
 */
public interface PeerSharing {
    /** Receives the state that peers share. Called on the event loop. */
    interface PeerListener {
        /** Called when peers have published observations of nodes; the keys are node ids. */
        void onPeerUpdate(Map<String, PeerObservation> observations);

        /**
         * Called with endpoint lists that this router's current discovery service has sent, possibly only to peers, or
         * that another discovery service has sent for endpoints that the current one does not list.
         */
        void onPeerUpdate(Collection<EndpointList> changes);
    }

    /** A fleet-wide quota, of health checks or of attempts beyond a request's first. */
    enum SharedQuota {
        HEALTH_CHECKS,
        FURTHER_ATTEMPTS
    }

    /**
     * Prepares the exchange; called before {@link #start}.
     *
     * @param loop the executor that calls the listener
     * @param discovery the address of the discovery service that sends the endpoint list
     */
    void attach(Executor loop, InetSocketAddress discovery, PeerListener listener);

    /** Starts to send to and receive from peers. */
    void start();

    /** Records that an attempt or a health check at a node has ended at {@code now}, in seconds since 1970. */
    void recordObservation(Node node, AttemptResult result, double now);

    /** Records that the discovery service at the given address has sent an endpoint list. */
    void recordEndpointList(InetSocketAddress discovery, EndpointList list);

    /** Records that the router has switched to the discovery service at the given address. */
    void discoveryMoved(InetSocketAddress discovery);

    /** Returns the position that a read of the session must cover, in seconds since 1970; 0 for none. */
    double requiredPosition(String session, double now);

    /** Records that a write of the session was committed in a replica set at a position, in seconds since 1970. */
    void recordSessionWrite(String session, int replicaSetId, double position);

    /**
     * Records the outcome of a write that has its final answer.
     *
     * @param executedAt the node that executed the write; null if it is in doubt whether the write was executed
     * @param now in seconds since 1970
     */
    void recordWriteOutcome(ClientRequest request, Node executedAt, double now);

    /** Records that this router has used units of a quota. */
    void recordQuotaUse(SharedQuota quota, int units);

    /** Returns this router's remaining units as last computed; infinite if the quota is not shared. */
    double remainingQuota(SharedQuota quota);

    /** Applies the seeds of reloaded settings; the other settings take effect only after a restart. */
    void reload(SharingSettings settings);

    /** Announces to peers that this router leaves, and closes; takes at most 0.2 s. For any thread. */
    void leave();

    /** Closes at once. For any thread. */
    void close();
}
