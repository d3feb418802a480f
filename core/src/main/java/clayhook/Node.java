package clayhook;

/**
 * One member of a replica set; a frontend keeps one object for each node.
 *
 * @param id the name of the node in the endpoint list
 * @param zone the zone in which the node runs
 * @param replicaSetId the replica set whose data the node holds
 */
public record Node(String id, String zone, int replicaSetId) {}
