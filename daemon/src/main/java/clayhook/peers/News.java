package clayhook.peers;

import clayhook.Node;
import clayhook.AttemptResult;
import clayhook.discovery.EndpointList;
import clayhook.fleet.Address;
import clayhook.serve.PeerSharing;
import java.util.List;

/** What the router's loop tells the peers' thread; times in seconds since 1970 on the loop's clock. */
public sealed interface News {
    /** A dispatch or a probe came back. The next one tells as much, so that one may be lost. */
    record Looked(Node node, AttemptResult reply, double at) implements News {}

    /** @param source where discovery is, as a text of host and port */
    record Listed(String source, EndpointList list) implements News {}

    record Moved(String source) implements News {}

    record Wrote(String session, int group, double position) implements News {}

    /** A write has run at that node, or for all that is known it may have. */
    record Written(String mark, double sentAt, int group, String commandGroup, boolean ran, String node, double at)
            implements News {}

    record Used(PeerSharing.SharedQuota limit, double units) implements News {}

    record Seeds(List<Address> seeds) implements News {}
}
