package clayhook.lab.model;

/**
 * Performance of the machine of a node. Times are in seconds.
 *
 * @param cores number of requests that run at once
 * @param queue maximum number of waiting requests; further ones are rejected
 * @param shipping time from a commit at the primary until a replica receives it
 * @param apply time of a replica's single apply thread per write
 * @param connecting additional time of the first request on a new connection
 * @param coldShare fraction of its full speed that a node has when it starts
 * @param warmAfter time after the start at which the node reaches full speed
 */
public record MachineSpec(
        int cores, int queue, double shipping, double apply, double connecting, double coldShare, double warmAfter) {}
