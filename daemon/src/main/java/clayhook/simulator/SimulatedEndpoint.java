package clayhook.simulator;

import clayhook.Endpoint.State;

/** One entry of a numbered list as it came on the wire. */
record SimulatedEndpoint(
        String nodeId, String zone, boolean primary, int replicaSetId, State state, long startedAtNanos) {

    static SimulatedEndpoint parse(InputLine line) throws SimulatorProtocolException {
        String node = line.nextText("node");
        String zone = line.nextText("hall");
        line.nextOrNull("kind");
        boolean primary = line.nextLong("primary", 0) != 0;
        int group = (int) line.nextLong("group");
        long number = line.nextLong("stage_state");
        if (number < 0 || number > 2) {
            throw line.error("has an unknown stage_state " + number);
        }
        line.nextOrNull("rating");
        return new SimulatedEndpoint(
                node, zone, primary, group, State.values()[(int) number], line.nextLong("since", 0));
    }
}
