package clayhook.lab.model;

import java.util.List;

/** Makes routers peers. */
public interface PeerLinkFactory {
    /** Each of them alone. */
    PeerLinkFactory NONE = (time, routers, seed) ->
            routers.stream().map(router -> PeerLink.NONE).toList();

    /** One end for each router, in their order. */
    List<PeerLink> among(Scheduler time, List<? extends PeerObservationListener> routers, long seed);
}
