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
    private final double way;
    private final double loss;
    private final FaultPlan plan;
    private SimulatedPeerGroup company;

    /**
     * @param way median latency of a packet in seconds
     * @param loss fraction of packets lost without any fault
     */
    public PeeredFleet(FleetSpec.Contact contact, double way, double loss, FaultPlan plan) {
        this.contact = contact;
        this.way = way;
        this.loss = loss;
        this.plan = plan;
    }

    @Override
    public List<PeerLink> createLinks(Scheduler scheduler, List<? extends PeerObservationListener> routers, long seed) {
        List<ModelPeer> peers = routers.stream()
                .map(router ->
                        new ModelPeer(scheduler, router, routers.size(), !contact.marksCarried(), contact.roam()))
                .toList();
        company = new SimulatedPeerGroup(
                scheduler, new SimulatedPeerGroup.Spec(routers.size(), way, loss), plan, peers::get, seed);
        company.routers().forEach(place -> peers.get(place.number()).attach(place));
        return List.copyOf(peers);
    }

    /** The peer group of the routers; null until the fleet is created. */
    public SimulatedPeerGroup company() {
        return company;
    }
}
