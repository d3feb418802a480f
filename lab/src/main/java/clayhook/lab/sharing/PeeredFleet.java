package clayhook.lab.sharing;

import clayhook.lab.model.FleetSpec;
import clayhook.lab.model.PeerLink;
import clayhook.lab.model.PeerLinkFactory;
import clayhook.lab.model.PeerObservationListener;
import clayhook.lab.model.Scheduler;
import java.util.List;

/** Connects the routers of a modelled fleet as peers over a network with faults. */
public final class PeeredFleet implements PeerLinkFactory {
    private final FleetSpec.Contact contact;
    private final double medianLatency;
    private final double loss;
    private final FaultPlan plan;
    private SimulatedPeerGroup peerGroup;

    /**
     * @param medianLatency median latency of a packet in seconds
     * @param loss fraction of packets lost without any fault
     */
    public PeeredFleet(FleetSpec.Contact contact, double medianLatency, double loss, FaultPlan plan) {
        this.contact = contact;
        this.medianLatency = medianLatency;
        this.loss = loss;
        this.plan = plan;
    }

    @Override
    public List<PeerLink> createLinks(Scheduler scheduler, List<? extends PeerObservationListener> routers, long seed) {
        List<ModelPeer> peers = routers.stream()
                .map(router ->
                        new ModelPeer(scheduler, router, routers.size(), !contact.marksCarried(), contact.roam()))
                .toList();
        peerGroup = new SimulatedPeerGroup(
                scheduler, new SimulatedPeerGroup.Spec(routers.size(), medianLatency, loss), plan, peers::get, seed);
        peerGroup.routers().forEach(peeredRouter -> peers.get(peeredRouter.number())
                .attach(peeredRouter));
        return List.copyOf(peers);
    }

    /** The peer group of the routers; null until the fleet is created. */
    public SimulatedPeerGroup peerGroup() {
        return peerGroup;
    }
}
