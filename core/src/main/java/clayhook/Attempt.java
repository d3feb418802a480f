package clayhook;

/** One send of a command to a node. */
public final class Attempt {
    public final Request request;
    public final Node node;
    /** It had to open a connection, as far as this router can tell. */
    public final boolean opensConnection;

    public final double sentAt;
    /** When it is abandoned. */
    public final double timeoutAt;
    /** How it ended, or null while it is out. */
    public AttemptOutcome outcome;

    public Attempt(Request command, Node node, boolean connects, double sentAt, double limit) {
        this.request = command;
        this.node = node;
        this.opensConnection = connects;
        this.sentAt = sentAt;
        this.timeoutAt = limit;
    }
}
