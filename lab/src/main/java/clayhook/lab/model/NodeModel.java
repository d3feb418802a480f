package clayhook.lab.model;

import clayhook.Node;
import clayhook.Role;

/** A node: its machine, its role in the replica set and the failures in effect. */
final class NodeModel {
    /** Seconds between two updates of the speed while the node warms up; short compared to the warm-up time. */
    private static final double WARM_UP_STEP = 0.25;

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
    private double neighbourShare;

    private boolean paused;
    Role role;
    /** Incarnation: the number of crashes. Requests sent to an earlier incarnation are lost. */
    int incarnation;

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
    boolean isHung() {
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
        double uptime = scheduler.now() - startedAt;
        return startedAt <= 0 || uptime >= machine.warmAfter()
                ? 1
                : machine.coldShare() + (1 - machine.coldShare()) * uptime / machine.warmAfter();
    }

    private double currentSpeed() {
        return paused || hung ? 0 : warmth() * (1 - neighbourShare);
    }

    private void updateSpeed() {
        cores.setSpeed(currentSpeed());
    }

    // ---- failures ----

    void crash() {
        up = false;
        incarnation++;
        cores.clear();
    }

    /** Restarts the node cold, as a replica. */
    void restart() {
        up = true;
        role = Role.REPLICA;
        startedAt = scheduler.now();
        updateWhileWarming();
    }

    private void updateWhileWarming() {
        updateSpeed();
        if (up && scheduler.now() < startedAt + machine.warmAfter()) {
            scheduler.scheduleAfter(WARM_UP_STEP, this::updateWhileWarming);
        }
    }

    void setHung(boolean value) {
        hung = value;
        updateSpeed();
    }

    void setPaused(boolean value) {
        paused = value;
        updateSpeed();
    }

    /** Sets the fraction of the machine that another program uses. */
    void setNeighbour(double fraction) {
        neighbourShare = fraction;
        updateSpeed();
    }
}
