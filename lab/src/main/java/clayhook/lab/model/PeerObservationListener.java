package clayhook.lab.model;

import clayhook.Endpoint;
import clayhook.PeerObservation;

/** Receives what the peers of a router know. */
public interface PeerObservationListener {
    /** Called with an endpoint-list entry that a peer received in the given revision. */
    void told(Endpoint entry, long revision);

    /** Called with what peers observed of the node with the given id. */
    void told(String node, PeerObservation told);
}
