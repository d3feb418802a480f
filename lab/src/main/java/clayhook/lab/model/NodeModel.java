package clayhook.lab.model;

import clayhook.Node;
import clayhook.Role;

/** A node: its machine, its role in the replica set and the failures in effect. */
final class NodeModel {
    /** Seconds between two updates of the speed while the node warms up; short compared to the warm-up time. */
    private static final double WARMING_STEP = 0.25;

    final Node node;
    final CpuModel cores;
    final ReplicaLog log;
    private final MachineSpec machine;
    private final Scheduler scheduler;
    private boolean up = true;
    private boolean hung;
    boolean draining;
    private double startedAt;
    /** Fraction of the machine that another program uses. */
    private double neighbour;

    private boolean paused;
    Role role;
    /** Incarnation: the number of crashes. Requests sent to an earlier incarnation are lost. */
    int life;

    NodeModel(Scheduler scheduler, Node node, MachineSpec machine, Role role) {
        this.scheduler = scheduler;
        this.node = node;
        this.machine = machine;
        this.role = role;
        cores = new CpuModel(scheduler, machine.cores(), machine.queue());
        log = new ReplicaLog(machine.shipping(), machine.apply());
    }

    boolean up() {
        return up;
    }

    /** Returns whether the node is hung: it accepts requests and answers none. */
    boolean silent() {
        return hung;
    }

    double startedAt() {
        return startedAt;
    }

    /** Applied position that the node reports now; of a primary, the current time. */
    double position() {
        return role == Role.PRIMARY ? scheduler.now() : log.position(scheduler.now());
    }

    /** Fraction of full speed that the node has reached since its start; 1 once it is warm. */
    double warmth() {
        double since = scheduler.now() - startedAt;
        return startedAt <= 0 || since >= machine.warmAfter()
                ? 1
                : machine.coldShare() + (1 - machine.coldShare()) * since / machine.warmAfter();
    }

    private double speed() {
        return paused || hung ? 0 : warmth() * (1 - neighbour);
    }

    private void respeed() {
        cores.speed(speed());
    }

    // ---- failures ----

    void crash() {
        up = false;
        life++;
        cores.clear();
    }

    /** Restarts the node cold, as a replica. */
    void restart() {
        up = true;
        role = Role.REPLICA;
        startedAt = scheduler.now();
        warm();
    }

    private void warm() {
        respeed();
        if (up && scheduler.now() < startedAt + machine.warmAfter()) {
            scheduler.scheduleAfter(WARMING_STEP, this::warm);
        }
    }

    void hang(boolean hangs) {
        hung = hangs;
        respeed();
    }

    void pause(boolean stands) {
        paused = stands;
        respeed();
    }

    /** Sets the fraction of the machine that another program uses. */
    void share(double part) {
        neighbour = part;
        respeed();
    }
}
