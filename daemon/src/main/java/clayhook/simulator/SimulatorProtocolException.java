package clayhook.simulator;

/** Thrown when a line from the simulator is malformed. The message names the line and the fault. */
public final class SimulatorProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
