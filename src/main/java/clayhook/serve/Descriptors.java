package clayhook.serve;

import java.util.function.BooleanSupplier;

/** The budget of descriptors over clients and nodes. */
public final class Descriptors {
    /** For the runtime's own files, the listener, the selector and discovery. */
    private static final int RESERVE = 64;
    /** The part that connections to nodes may take; clients may take what these leave. */
    private static final double NODES_PART = 0.5;
    private final int most;
    private int all;
    private int peak;
    /** Gives idle ones back; false if there is none. */
    private BooleanSupplier giveBack = () -> false;
    private int nodes;

    public Descriptors(int limit) {
        most = Math.max(1, limit - RESERVE);
    }

    void giveBackBy(BooleanSupplier way) {
        giveBack = way;
    }

    public boolean takeForNode() {
        if (nodes >= most * NODES_PART || !take()) {
            return false;
        }
        nodes++;
        return true;
    }

    public void give() {
        nodes--;
        all--;
    }

    public int ofNodes() {
        return nodes;
    }

    public boolean takeForClient() {
        return take();
    }

    public void giveOfClient() {
        all--;
    }

    private boolean take() {
        if (all >= most && !giveBack.getAsBoolean()) {
            return false;
        }
        all++;
        peak = Math.max(peak, all);
        return true;
    }

    int peak() {
        return peak;
    }
}
