package clayhook.lab.model;

/**
 * What a node's machine does. Times are seconds.
 *
 * @param cores commands that run at once
 * @param queue commands that wait at the most; more are refused
 * @param shipping from a commit at the primary until a replica holds it
 * @param apply work of a replica's one applying thread for a write
 * @param connecting what the first command on a new connection takes longer
 * @param coldShare the part of its speed that a node has when it starts
 * @param warmAfter it has its full speed this long after
 */
public record MachineSpec(
        int cores, int queue, double shipping, double apply, double connecting, double coldShare, double warmAfter) {}
