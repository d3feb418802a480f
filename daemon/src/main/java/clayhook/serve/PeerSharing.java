package clayhook.serve;

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
 * What a router tells others and hears from them. All but the end is called on the router's loop; each call returns at
 * once, and whatever goes wrong behind it costs no command. A router that shares nothing has none of this.
 */
public interface PeerSharing {
    /** Hears on the router's loop what others told. */
    interface PeerListener {
        /** Others have seen that of nodes, by their ids. */
        void onPeerUpdate(Map<String, PeerObservation> told);

        /**
         * The discovery that this router hears now said that, perhaps to others only; or another did, where it says
         * nothing.
         */
        void onPeerUpdate(Collection<EndpointList> changes);
    }

    /** What all routers together may use of, in units: probes, and dispatches beyond the first of a command. */
    enum SharedQuota {
        HEALTH_CHECKS,
        FURTHER_ATTEMPTS
    }

    /** From now on it can be asked. {@code discovery} is where the list of nodes comes from. */
    void attach(Executor loop, InetSocketAddress discovery, PeerListener listener);

    /** From now on it tells and hears. */
    void start();

    /** A dispatch or a probe came back from that node, at {@code now} in seconds since 1970. */
    void recordObservation(Node node, AttemptResult reply, double now);

    /** The discovery at that address told this. */
    void recordEndpointList(InetSocketAddress discovery, EndpointList list);

    /** Discovery is asked at that address from now on. */
    void discoveryMoved(InetSocketAddress discovery);

    /** The position that a read of that session must cover, in seconds since 1970; 0 for none. */
    double requiredPosition(String session, double now);

    /** A write of that session was committed at that position of its group of nodes. */
    void recordSessionWrite(String session, int group, double position);

    /** That write has run at that node; or, with null, has its final answer and it is not known whether it has run. */
    void recordWriteOutcome(ClientRequest command, Node ranAt, double now);

    /** This router has used so much of a limit. */
    void recordQuotaUse(SharedQuota limit, int units);

    /** What is left of it for this router, as reckoned last; infinite where the limit is not shared. */
    double remainingQuota(SharedQuota limit);

    /** The operator's file was read again; only its seeds count. */
    void reload(SharingSettings settings);

    /** Tells the others that this router goes, and ends; waits for that a fifth of a second at most. For any thread. */
    void leave();

    /** Ends at once. For any thread. */
    void close();
}
