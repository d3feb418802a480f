package clayhook.clustertests;

import java.util.Set;

/** A fault of the links between routers, or of router processes, that lasts until it is ended. Routers count from 0. */
public sealed interface ClusterFault {
    /** Applies a fault to all links between routers. */
    record Everywhere(LinkFault fault) implements ClusterFault {}

    /** Cuts all links between these routers and the others, in both directions. */
    record Split(Set<Integer> side) implements ClusterFault {}

    /** Cuts the link from one router to another; the opposite direction works. */
    record OneWay(int from, int to) implements ClusterFault {}

    /** Stops a router's process by SIGSTOP; it is resumed by SIGCONT. */
    record Stopped(int router) implements ClusterFault {}

    /** Kills these processes at the same time; at the end of the fault they are restarted under the same names. */
    record Killed(Set<Integer> routers) implements ClusterFault {}
}
