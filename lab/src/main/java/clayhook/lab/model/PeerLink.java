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
        public void listed(List<Endpoint> entries, boolean whole, long revision) {}

        @Override
        public void looked(Node node, AttemptResult reply) {}

        @Override
        public void wrote(Request command, double position) {}

        @Override
        public void written(Request command, String mark, Node ranAt) {}

        @Override
        public void used(int probes, int repeats) {}

        @Override
        public double needs(String session) {
            return 0;
        }
    };

    /**
     * Publishes endpoint-list entries of the given revision.
     *
     * @param whole whether the entries are the complete list; otherwise only those that changed
     */
    void listed(List<Endpoint> entries, boolean whole, long revision);

    /** Publishes the result of an attempt or health check at a node. */
    void looked(Node node, AttemptResult reply);

    /** Publishes the position of an answered write of a session. */
    void wrote(Request command, double position);

    /**
     * Publishes the outcome of a write.
     *
     * @param ranAt the node where it ran; null if it has its final answer and it is not known whether it ran
     */
    void written(Request command, String mark, Node ranAt);

    /**
     * Publishes the use of quotas.
     *
     * @param probes number of health checks sent
     * @param repeats number of attempts beyond the first of a request
     */
    void used(int probes, int repeats);

    /** Minimum position for a read of the session, rounded up if uncertain; 0 if there is none. */
    double needs(String session);
}
