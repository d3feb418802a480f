package clayhook.lab.model;

import clayhook.Node;
import clayhook.Role;

/** One node: its machine, its place in its group, and what has befallen it. */
final class NodeModel {
    /** How often the speed of a node that warms is reckoned; short beside the time that takes. */
    private static final double WARMING_STEP = 0.25;

    final Node node;
    final CpuModel cores;
    final ReplicaLog log;
    private final MachineSpec machine;
    private final Scheduler timeline;
    private boolean up = true;
    private boolean hung;
    boolean draining;
    private double startedAt;
    /** The part of the machine that another program takes. */
    private double neighbour;

    private boolean paused;
    Role role;
    /** It was turned off and on so often: what was sent to an earlier life is lost. */
    int life;

    NodeModel(Scheduler timeline, Node node, MachineSpec machine, Role role) {
        this.timeline = timeline;
        this.node = node;
        this.machine = machine;
        this.role = role;
        cores = new CpuModel(timeline, machine.cores(), machine.queue());
        log = new ReplicaLog(machine.shipping(), machine.apply());
    }

    boolean up() {
        return up;
    }

    /** It takes what is sent and answers nothing. */
    boolean silent() {
        return hung;
    }

    double startedAt() {
        return startedAt;
    }

    /** Its position as it would tell it. */
    double position() {
        return role == Role.PRIMARY ? timeline.now() : log.position(timeline.now());
    }

    /** The part of its full speed that it has by the time since its start; 1 once it is warm. */
    double warmth() {
        double since = timeline.now() - startedAt;
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

    // ---- what befalls it ----

    void crash() {
        up = false;
        life++;
        cores.clear();
    }

    /** It comes back cold, as a replica. */
    void restart() {
        up = true;
        role = Role.REPLICA;
        startedAt = timeline.now();
        warm();
    }

    private void warm() {
        respeed();
        if (up && timeline.now() < startedAt + machine.warmAfter()) {
            timeline.in(WARMING_STEP, this::warm);
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

    /** Another program takes that part of the machine. */
    void share(double part) {
        neighbour = part;
        respeed();
    }
}
