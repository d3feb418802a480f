package clayhook;

/** One send of a command to a node. */
public final class Dispatch {
    public final Command command;
    public final Node node;
    /** It had to open a connection, as far as this router can tell. */
    public final boolean connects;

    public final double sentAt;
    /** When it is abandoned. */
    public final double limit;
    /** How it ended, or null while it is out. */
    public Outcome outcome;

    public Dispatch(Command command, Node node, boolean connects, double sentAt, double limit) {
        this.command = command;
        this.node = node;
        this.connects = connects;
        this.sentAt = sentAt;
        this.limit = limit;
    }
}
