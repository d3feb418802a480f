package clayhook.transport;

import java.util.function.BooleanSupplier;

/**
 * Divides the file descriptors of the process between client and node connections, half each: a flood of clients cannot
 * take the descriptors that connections to nodes need. Event loop only.
 */
public final class DescriptorBudget {
    /**
     * For the runtime's own files, the listening socket and the selector (14), discovery (4), connections accepted over
     * the budget in one event loop iteration and those evicted for them (8), and rejected clients that still read their
     * answer (16).
     */
    private static final int RESERVED = 48;

    /** One half of the budget. */
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

    /** A budget of as many descriptors as the process may open; each side gets one at least. */
    public DescriptorBudget(int limit) {
        limitPerSide = Math.max(1, (limit - RESERVED) / 2);
    }

    /** Sets what closes an idle client connection when all are in use; it returns false if none is idle. */
    public void setClientEvictor(BooleanSupplier evictor) {
        clients.evictor = evictor;
    }

    /** Sets what closes an idle node connection when all are in use; it returns false if none is idle. */
    public void setNodeEvictor(BooleanSupplier evictor) {
        nodes.evictor = evictor;
    }

    /** The greatest number of connections on each side. */
    public int limitPerSide() {
        return limitPerSide;
    }

    /** Takes a descriptor for a node connection; false if none is free and none can be freed. */
    public boolean tryAcquireForNode() {
        return nodes.tryAcquire();
    }

    /** Returns the descriptor of a node connection. */
    public void releaseForNode() {
        nodes.release();
    }

    /** The number of node connections. */
    public int nodeCount() {
        return nodes.count;
    }

    /** Takes a descriptor for a client connection; false if none is free and none can be freed. */
    public boolean tryAcquireForClient() {
        return clients.tryAcquire();
    }

    /** Returns the descriptor of a client connection. */
    public void releaseForClient() {
        clients.release();
    }

    /** The greatest number of connections at a time, of both sides, since the start. */
    public int peak() {
        return peak;
    }
}
