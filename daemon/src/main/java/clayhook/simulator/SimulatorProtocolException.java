package clayhook.simulator;

/** A line from the simulator that cannot be understood; the message names the line and what is wrong with it. */
public final class SimulatorProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
