package clayhook.transport;

import java.util.function.BooleanSupplier;

/**
 * Divides the file descriptors of the process equally between client and node connections, so that a flood of clients
 * cannot use up the descriptors that node connections need. Confined to the event loop.
 */
public final class DescriptorBudget {
    /**
     * Descriptors outside the budget: for the runtime's own files, the listening socket and the selector (14), for
     * discovery (4), for connections accepted over the budget in one event loop iteration and the connections evicted
     * for them (8), and for rejected clients that are still reading their response (16).
     */
    private static final int RESERVED_DESCRIPTORS = 48;

    /** The half of the budget for clients or for nodes. */
    private final class Side {
        private int count;
        private BooleanSupplier evictor = () -> false;

        private boolean tryAcquire() {
            if (count >= limitPerSide && !evictor.getAsBoolean()) {
                return false;
            }
            count++;
            peak = Math.max(peak, clients.count + nodes.count);
            return true;
        }

        private void release() {
            count--;
        }
    }

    private final int limitPerSide;
    private final Side clients = new Side();
    private final Side nodes = new Side();
    private int peak;

    /**
     * Creates a budget.
     *
     * @param limit the number of descriptors that the process may open; each side gets at least one
     */
    public DescriptorBudget(int limit) {
        limitPerSide = Math.max(1, (limit - RESERVED_DESCRIPTORS) / 2);
    }

    /** Sets the callback that closes an idle client connection if all descriptors are in use; false if none is idle. */
    public void setClientEvictor(BooleanSupplier evictor) {
        clients.evictor = evictor;
    }

    /** Sets the callback that closes an idle node connection if all descriptors are in use; false if none is idle. */
    public void setNodeEvictor(BooleanSupplier evictor) {
        nodes.evictor = evictor;
    }

    /** The maximum number of connections on each side. */
    public int limitPerSide() {
        return limitPerSide;
    }

    /** Acquires a descriptor for a node connection; returns false if none is free and none can be freed. */
    public boolean tryAcquireForNode() {
        return nodes.tryAcquire();
    }

    /** Releases the descriptor of a node connection. */
    public void releaseForNode() {
        nodes.release();
    }

    /** The number of node connections. */
    public int nodeCount() {
        return nodes.count;
    }

    /** Acquires a descriptor for a client connection; returns false if none is free and none can be freed. */
    public boolean tryAcquireForClient() {
        return clients.tryAcquire();
    }

    /** Releases the descriptor of a client connection. */
    public void releaseForClient() {
        clients.release();
    }

    /** The peak number of simultaneous connections on both sides together since the start. */
    public int peak() {
        return peak;
    }
}
