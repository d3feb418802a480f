package clayhook.lab.model;

import clayhook.AttemptResult;
import clayhook.Endpoint;
import clayhook.Node;
import clayhook.Request;
import java.util.List;

/**
 * A router's link to its peers: publishes what the router learns and returns what the peers know. Times and positions
 * are those of the scheduler.
 */
public interface PeerLink {
    /** The link of a router that shares nothing. */
    PeerLink NONE = new PeerLink() {
        @Override
        public void onEndpointList(List<Endpoint> entries, boolean complete, long revision) {}

        @Override
        public void onAttemptResult(Node node, AttemptResult result) {}

        @Override
        public void onSessionWrite(Request request, double position) {}

        @Override
        public void onWriteOutcome(Request request, String writeId, Node ranAt) {}

        @Override
        public void onQuotaUsed(int healthChecks, int furtherAttempts) {}

        @Override
        public double requiredPosition(String session) {
            return 0;
        }
    };

    /**
     * Publishes endpoint-list entries of the given revision.
     *
     * @param complete whether the entries are the complete list; otherwise only those that changed
     */
    void onEndpointList(List<Endpoint> entries, boolean complete, long revision);

    /** Publishes the result of an attempt or health check at a node. */
    void onAttemptResult(Node node, AttemptResult result);

    /** Publishes the position of an answered write of a session. */
    void onSessionWrite(Request request, double position);

    /**
     * Publishes the outcome of a write.
     *
     * @param ranAt the node where it ran; null if it has its final answer and it is not known whether it ran
     */
    void onWriteOutcome(Request request, String writeId, Node ranAt);

    /**
     * Publishes the use of quotas.
     *
     * @param healthChecks number of health checks sent
     * @param furtherAttempts number of attempts beyond the first of a request
     */
    void onQuotaUsed(int healthChecks, int furtherAttempts);

    /** Minimum position for a read of the session, rounded up if uncertain; 0 if there is none. */
    double requiredPosition(String session);
}
