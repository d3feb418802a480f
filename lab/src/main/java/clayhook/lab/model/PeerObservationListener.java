package clayhook.lab.model;

import clayhook.Endpoint;
import clayhook.PeerObservation;

/** A router that can be told what its peers know. */
public interface PeerObservationListener {
    /** What the list told a peer in that revision. */
    void told(Endpoint entry, long revision);

    /** What peers have seen of the node of that id. */
    void told(String node, PeerObservation told);
}
