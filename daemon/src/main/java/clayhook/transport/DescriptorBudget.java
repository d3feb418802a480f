package clayhook.transport;

import java.util.function.BooleanSupplier;

/** The budget of descriptors over clients and nodes. */
public final class DescriptorBudget {
    /**
     * For the runtime's own files, the listener and the selector (14), discovery (4), what is accepted over the budget
     * in one turn and what made room for it (8), and those turned away that still read their answer (16).
     */
    private static final int RESERVED = 48;
    /** Each side keeps to its half: a flood of clients costs no connection to a node. */
    private final int limitPerSide;

    private int clientCount;
    private int nodeCount;
    private int peak;
    /** Give idle ones back; false if there is none. */
    private BooleanSupplier clientEvictor = () -> false;

    private BooleanSupplier nodeEvictor = () -> false;

    public DescriptorBudget(int limit) {
        limitPerSide = Math.max(1, (limit - RESERVED) / 2);
    }

    public void setClientEvictor(BooleanSupplier way) {
        clientEvictor = way;
    }

    public void setNodeEvictor(BooleanSupplier way) {
        nodeEvictor = way;
    }

    public int limitPerSide() {
        return limitPerSide;
    }

    public boolean tryAcquireForNode() {
        if (nodeCount >= limitPerSide && !nodeEvictor.getAsBoolean()) {
            return false;
        }
        nodeCount++;
        peak = Math.max(peak, nodeCount + clientCount);
        return true;
    }

    public void releaseForNode() {
        nodeCount--;
    }

    public int nodeCount() {
        return nodeCount;
    }

    public boolean tryAcquireForClient() {
        if (clientCount >= limitPerSide && !clientEvictor.getAsBoolean()) {
            return false;
        }
        clientCount++;
        peak = Math.max(peak, nodeCount + clientCount);
        return true;
    }

    public void releaseForClient() {
        clientCount--;
    }

    public int peak() {
        return peak;
    }
}
