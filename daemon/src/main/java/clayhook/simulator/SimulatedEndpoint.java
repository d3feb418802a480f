package clayhook.simulator;

import clayhook.Endpoint.State;

/**
 * An endpoint of a numbered endpoint list, as the simulator sends it in a ROW line.
 *
 * @param startedAtNanos the simulator's clock time at which the node's process last started; 0 if long ago
 */
record SimulatedEndpoint(
        String nodeId, String zone, boolean primary, int replicaSetId, State state, long startedAtNanos) {

    static SimulatedEndpoint parse(InputLine line) throws SimulatorProtocolException {
        String nodeId = line.nextText("node");
        String zone = line.nextText("hall");
        line.nextOrNull("kind");
        boolean primary = line.nextLong("primary", 0) != 0;
        int replicaSetId = (int) line.nextLong("group");
        State state = parseState(line);
        line.nextOrNull("rating");
        return new SimulatedEndpoint(nodeId, zone, primary, replicaSetId, state, line.nextLong("since", 0));
    }

    private static State parseState(InputLine line) throws SimulatorProtocolException {
        long number = line.nextLong("stage_state");
        if (number < 0 || number > 2) {
            throw line.error("has an unknown stage_state " + number);
        }
        return switch ((int) number) {
            case 0 -> State.READY;
            case 1 -> State.DRAINING;
            default -> State.GONE;
        };
    }
}
