package clayhook.trials;

import java.util.Set;

/**
 * Something that goes wrong between routers or with their processes, until it is healed. Routers are numbered from 0.
 */
public sealed interface Fault {
    /** All links do this. */
    record Everywhere(Trouble trouble) implements Fault {}

    /** Nothing gets across between these routers and the others. */
    record Split(Set<Integer> side) implements Fault {}

    /** Nothing gets from one to the other; the way back is open. */
    record OneWay(int from, int to) implements Fault {}

    /** The process stands still. */
    record Stopped(int router) implements Fault {}

    /** These processes are killed at once; healed, they come back under the same names. */
    record Killed(Set<Integer> routers) implements Fault {}
}
