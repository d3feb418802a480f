package clayhook.lab.model;

import java.util.function.Consumer;

/** A request at a node. */
final class NodeJob {
    /** Remaining work in core seconds at full speed. */
    double work;

    final double arrived;
    /** Called when the job is done; not called if it was dropped. */
    final Consumer<NodeJob> done;
    /** Time at which {@link #work} was last updated while the job runs. */
    double updatedAt;
    /** Number of the valid scheduled end; ends scheduled under older numbers are ignored. */
    int endNumber;

    boolean running;

    NodeJob(double work, double arrived, Consumer<NodeJob> done) {
        this.work = work;
        this.arrived = arrived;
        this.done = done;
    }
}
