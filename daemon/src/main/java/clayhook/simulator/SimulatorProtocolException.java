package clayhook.simulator;

/** A line of the wire that cannot be understood; the message names it. */
public final class SimulatorProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    public SimulatorProtocolException(String message) {
        super(message);
    }
}
