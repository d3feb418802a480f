package clayhook.lab.model;

import clayhook.AttemptResult;
import clayhook.Endpoint;
import clayhook.Node;
import clayhook.Request;
import java.util.List;

/**
 * What a router tells its peers of what it learns, and what it has from them. Times and positions are the timeline's.
 */
public interface PeerLink {
    /** Of a router that shares nothing. */
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

    /** The list told that in this revision, all of it or what changed. */
    void listed(List<Endpoint> entries, boolean whole, long revision);

    /** A dispatch or a probe came back from that node. */
    void looked(Node node, AttemptResult reply);

    /** A write of a session was answered. */
    void wrote(Request command, double position);

    /** That write has run there; or, with null, has its final answer and it is not known whether it has run. */
    void written(Request command, String mark, Node ranAt);

    /** So many probes were sent, and dispatches beyond the first of a command. */
    void used(int probes, int repeats);

    /** The position that a read of that session must see, as far as is known, on the safe side; 0 for any. */
    double needs(String session);
}
