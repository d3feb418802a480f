package clayhook.clustertests;

import clayhook.Node;
import clayhook.protocol.KeyValueStatement;

/**
 * A statement that a node has read.
 *
 * @param router name of the router that sent it; empty if the sender is no router of the fleet
 * @param node the node that read it
 * @param statement the statement with its routing comment, as received
 * @param at time of the read, in seconds on the clock of {@link HistoryRecorder}
 */
record NodeRequest(String router, Node node, KeyValueStatement statement, double at) {}
