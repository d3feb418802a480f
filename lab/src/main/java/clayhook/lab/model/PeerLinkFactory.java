package clayhook.lab.model;

import java.util.List;

/** Connects routers as peers. */
public interface PeerLinkFactory {
    /** Connects no routers: each one shares nothing. */
    PeerLinkFactory NONE = (scheduler, routers, seed) ->
            routers.stream().map(router -> PeerLink.NONE).toList();

    /** Creates one link per router, in the order of the routers. */
    List<PeerLink> createLinks(Scheduler scheduler, List<? extends PeerObservationListener> routers, long seed);
}
