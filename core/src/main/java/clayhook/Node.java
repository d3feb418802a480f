package clayhook;

/** One member of a group of nodes that hold the same data; the front keeps one object for each. */
public record Node(String id, String zone, int replicaSetId) {}
