package clayhook;

/**
 * What the decisions need to know of one command group. Times are seconds.
 *
 * @param lateShare the part of the benefit that an answer after the response target still earns
 * @param repeatScope which nodes drop a repeat of a keyed command: those like the node that may have run it
 * @param repeatWindow how long a repeat of a keyed command is dropped, from the first send that may have run
 * @param bound the greatest age of the data of a bounded read when it is sent
 */
public record CommandGroup(
        String name,
        Effect effect,
        ReadLevel level,
        double responseTarget,
        double clientTimeout,
        double benefit,
        double lateShare,
        Scope repeatScope,
        double repeatWindow,
        double bound) {

    public enum Effect {
        REPLAYABLE,
        KEYED,
        MUTATING
    }

    public enum Scope {
        ALL,
        ZONE,
        GROUP
    }

    public enum ReadLevel {
        WRITE,
        FRESH,
        SESSION,
        BOUNDED,
        ANY
    }

    /** Only the primary may take such a command. */
    public boolean primaryOnly() {
        return level == ReadLevel.WRITE || level == ReadLevel.FRESH;
    }
}
