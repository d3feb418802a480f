package clayhook.lab.model;

import java.util.List;

/** Makes routers peers. */
public interface Sharing {
    /** Each of them alone. */
    Sharing NONE =
            (time, routers, seed) -> routers.stream().map(router -> Peers.NONE).toList();

    /** One end for each router, in their order. */
    List<Peers> among(Time time, List<? extends Hearing> routers, long seed);
}
