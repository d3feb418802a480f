package clayhook.clustertests;

import clayhook.Node;
import clayhook.protocol.KeyValueStatement;

/**
 * A statement that a node has read.
 *
 * @param router the name of the router that sent it; empty for none of the fleet
 * @param node that read it
 * @param statement with its routing comment, as it came
 * @param at when it was read, in seconds on the clock of {@link HistoryRecorder}
 */
record NodeRequest(String router, Node node, KeyValueStatement statement, double at) {}
