package clayhook;

/**
 * The identity of one member of a replica set; a frontend keeps one object per node.
 *
 * @param id the name of the node in the endpoint list
 * @param zone the zone in which the node runs
 * @param replicaSetId the replica set whose data the node holds
 */
public record Node(String id, String zone, int replicaSetId) {}
