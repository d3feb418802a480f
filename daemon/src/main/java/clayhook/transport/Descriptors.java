package clayhook.transport;

import java.util.function.BooleanSupplier;

/** The budget of descriptors over clients and nodes. */
public final class Descriptors {
    /**
     * For the runtime's own files, the listener and the selector (14), discovery (4), what is accepted over the budget
     * in one turn and what made room for it (8), and those turned away that still read their answer (16).
     */
    private static final int RESERVE = 48;
    /** Each side keeps to its half: a flood of clients costs no connection to a node. */
    private final int mostOfEach;

    private int ofClients;
    private int ofNodes;
    private int peak;
    /** Give idle ones back; false if there is none. */
    private BooleanSupplier clientsGiveBack = () -> false;

    private BooleanSupplier nodesGiveBack = () -> false;

    public Descriptors(int limit) {
        mostOfEach = Math.max(1, (limit - RESERVE) / 2);
    }

    public void clientsGiveBackBy(BooleanSupplier way) {
        clientsGiveBack = way;
    }

    public void nodesGiveBackBy(BooleanSupplier way) {
        nodesGiveBack = way;
    }

    public int mostOfEach() {
        return mostOfEach;
    }

    public boolean takeForNode() {
        if (ofNodes >= mostOfEach && !nodesGiveBack.getAsBoolean()) {
            return false;
        }
        ofNodes++;
        peak = Math.max(peak, ofNodes + ofClients);
        return true;
    }

    public void giveOfNode() {
        ofNodes--;
    }

    public int ofNodes() {
        return ofNodes;
    }

    public boolean takeForClient() {
        if (ofClients >= mostOfEach && !clientsGiveBack.getAsBoolean()) {
            return false;
        }
        ofClients++;
        peak = Math.max(peak, ofNodes + ofClients);
        return true;
    }

    public void giveOfClient() {
        ofClients--;
    }

    public int peak() {
        return peak;
    }
}
