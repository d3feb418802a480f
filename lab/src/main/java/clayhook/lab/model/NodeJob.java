package clayhook.lab.model;

import java.util.function.Consumer;

/** One command at a node. */
final class NodeJob {
    /** Seconds of one core at full speed that are left. */
    double work;

    final double arrived;
    /** Hears that it is done; is told nothing where it was dropped. */
    final Consumer<NodeJob> done;
    /** When its work was last reckoned, while it runs. */
    double reckonedAt;
    /** Its end as it is planned now; an older plan is void. */
    int plan;

    boolean running;

    NodeJob(double work, double arrived, Consumer<NodeJob> done) {
        this.work = work;
        this.arrived = arrived;
        this.done = done;
    }
}
