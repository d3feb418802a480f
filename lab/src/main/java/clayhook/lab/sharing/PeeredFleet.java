package clayhook.lab.sharing;

import clayhook.lab.model.FleetSpec;
import clayhook.lab.model.PeerLink;
import clayhook.lab.model.PeerLinkFactory;
import clayhook.lab.model.PeerObservationListener;
import clayhook.lab.model.Scheduler;
import java.util.List;

/** Makes the routers of a modelled fleet peers of one another, on a network with faults. */
public final class PeeredFleet implements PeerLinkFactory {
    private final FleetSpec.Contact contact;
    private final double way;
    private final double loss;
    private final FaultPlan plan;
    private SimulatedPeerGroup company;

    /**
     * @param way seconds that a packet takes, the median
     * @param loss the part of all packets that is lost at the best of times
     */
    public PeeredFleet(FleetSpec.Contact contact, double way, double loss, FaultPlan plan) {
        this.contact = contact;
        this.way = way;
        this.loss = loss;
        this.plan = plan;
    }

    @Override
    public List<PeerLink> among(Scheduler time, List<? extends PeerObservationListener> routers, long seed) {
        List<ModelPeer> peers = routers.stream()
                .map(router -> new ModelPeer(time, router, routers.size(), !contact.marksCarried(), contact.roam()))
                .toList();
        company = new SimulatedPeerGroup(
                time, new SimulatedPeerGroup.Spec(routers.size(), way, loss), plan, peers::get, seed);
        company.routers().forEach(place -> peers.get(place.number()).at(place));
        return List.copyOf(peers);
    }

    /** The routers' ends, once the fleet was made. */
    public SimulatedPeerGroup company() {
        return company;
    }
}
