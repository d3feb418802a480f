package clayhook;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The nodes that are gone from the endpoint list, with what remains true of them, in case they return under the same
 * id. A node leaves the table when it returns; beyond a maximum, the node that left longest ago is forgotten.
 *
 * <p>A node that was forgotten looks like a new one when it returns. So that a listed role never replaces one that such
 * a node reported, its replica set uses the listed role of no node that has not reported its role itself.
 *
 * <p>Not thread-safe: confined to the event loop.
 */
final class DepartedNodes {
    /** The maximum number of nodes kept, above the size of a large fleet. */
    static final int MAX_NODES = 2_048;

    /** The nodes by id, in the order in which they left. */
    private final Map<String, NodeState> nodes = new LinkedHashMap<>();

    /** Records that a node has left. */
    void add(NodeState node) {
        nodes.put(node.node.id(), node);
        if (nodes.size() > MAX_NODES) {
            forgetOldest();
        }
    }

    private void forgetOldest() {
        NodeState oldest = nodes.values().iterator().next();
        nodes.remove(oldest.node.id());
        oldest.replicaSet.ignoreListedRoles();
    }

    /** Returns the node with this id that has left, or null. */
    NodeState find(String id) {
        return nodes.get(id);
    }

    /** Removes and returns the node with this id that left earlier, or null. */
    NodeState takeReturning(String id) {
        return nodes.remove(id);
    }
}
