package clayhook.lab.model;

import clayhook.Endpoint;
import clayhook.PeerObservation;

/** Receives what the peers of a router know. */
public interface PeerObservationListener {
    /** Called with an endpoint-list entry that a peer received in the given revision. */
    void onPeerEndpoint(Endpoint endpoint, long revision);

    /** Called with what peers observed of the node with the given id. */
    void onPeerObservation(String nodeId, PeerObservation observation);
}
