package clayhook.clustertests;

import java.util.Set;

/**
 * Something that goes wrong between routers or with their processes, until it is healed. Routers are numbered from 0.
 */
public sealed interface ClusterFault {
    /** All links do this. */
    record Everywhere(LinkFault fault) implements ClusterFault {}

    /** Nothing gets across between these routers and the others. */
    record Split(Set<Integer> side) implements ClusterFault {}

    /** Nothing gets from one to the other; the way back is open. */
    record OneWay(int from, int to) implements ClusterFault {}

    /** The process stands still. */
    record Stopped(int router) implements ClusterFault {}

    /** These processes are killed at once; healed, they come back under the same names. */
    record Killed(Set<Integer> routers) implements ClusterFault {}
}
