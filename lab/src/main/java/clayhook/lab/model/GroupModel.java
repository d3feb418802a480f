package clayhook.lab.model;

import clayhook.Role;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A replica set: one primary, replicas that apply its commits, and elections. */
final class GroupModel {
    final int id;
    final List<NodeModel> nodes = new ArrayList<>();
    private final Scheduler scheduler;
    /** Seconds without a primary before a successor takes over. */
    private final double election;
    /** Position of the newest commit. */
    private double lastCommit;

    GroupModel(Scheduler scheduler, int id, double election) {
        this.scheduler = scheduler;
        this.id = id;
        this.election = election;
    }

    /** The current primary, or null if there is none. */
    NodeModel primary() {
        return nodes.stream()
                .filter(node -> node.up() && node.role == Role.PRIMARY)
                .findFirst()
                .orElse(null);
    }

    /** Commits a write at the primary and returns its position. */
    double commit() {
        lastCommit = Math.max(Math.nextUp(lastCommit), scheduler.now());
        nodes.stream()
                .filter(node -> node.role != Role.PRIMARY && node.up())
                .forEach(node -> node.log.committed(lastCommit));
        return lastCommit;
    }

    /**
     * Starts an election if there is no primary: the replica with the highest position takes over unless there is a
     * primary by then.
     */
    void electIfNoPrimary() {
        if (primary() == null) {
            scheduler.scheduleAfter(election, () -> {
                if (primary() == null) {
                    nodes.stream()
                            .filter(node -> node.up() && !node.isHung())
                            .max(Comparator.comparingDouble(NodeModel::position))
                            .ifPresent(node -> node.role = Role.PRIMARY);
                }
            });
        }
    }

    /**
     * Demotes a primary that is still hung after the election time, and starts an election. The hung node itself cannot
     * notice this.
     */
    void demoteIfHung(NodeModel node) {
        if (node.role == Role.PRIMARY) {
            scheduler.scheduleAfter(election, () -> {
                if (node.role == Role.PRIMARY && node.isHung()) {
                    node.role = Role.REPLICA;
                    electIfNoPrimary();
                }
            });
        }
    }
}
