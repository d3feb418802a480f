package clayhook;

/** One send of a command to a node. */
public final class Dispatch {
    public final Command command;
    public final Node node;
    public final double sentAt;
    /** When it is abandoned. */
    public final double limit;
    /** How it ended, or null while it is out. */
    public Outcome outcome;

    public Dispatch(Command command, Node node, double sentAt, double limit) {
        this.command = command;
        this.node = node;
        this.sentAt = sentAt;
        this.limit = limit;
    }
}
