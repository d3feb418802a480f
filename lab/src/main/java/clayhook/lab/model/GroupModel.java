package clayhook.lab.model;

import clayhook.Role;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A group of nodes that hold the same data: one primary, whose commits its replicas apply, and elections. */
final class GroupModel {
    final int id;
    final List<NodeModel> nodes = new ArrayList<>();
    private final Scheduler timeline;
    /** Seconds without a primary before a successor takes over. */
    private final double election;
    /** The newest commit that was answered. */
    private double head;

    GroupModel(Scheduler timeline, int id, double election) {
        this.timeline = timeline;
        this.id = id;
        this.election = election;
    }

    /** Null while there is none. */
    NodeModel primary() {
        return nodes.stream()
                .filter(node -> node.up() && node.role == Role.PRIMARY)
                .findFirst()
                .orElse(null);
    }

    /** A write has run at its primary; returns its position. */
    double commit() {
        head = Math.max(Math.nextUp(head), timeline.now());
        nodes.stream().filter(node -> node.role != Role.PRIMARY && node.up()).forEach(node -> node.log.committed(head));
        return head;
    }

    /** The primary may have gone: the replica that is furthest ahead follows, if none is there by then. */
    void maybeElect() {
        if (primary() == null) {
            timeline.in(election, () -> {
                if (primary() == null) {
                    nodes.stream()
                            .filter(node -> node.up() && !node.silent())
                            .max(Comparator.comparingDouble(NodeModel::position))
                            .ifPresent(node -> node.role = Role.PRIMARY);
                }
            });
        }
    }

    /** A primary that hangs loses its part, though it does not know. */
    void depose(NodeModel old) {
        if (old.role == Role.PRIMARY) {
            timeline.in(election, () -> {
                if (old.role == Role.PRIMARY && old.silent()) {
                    old.role = Role.REPLICA;
                    maybeElect();
                }
            });
        }
    }
}
