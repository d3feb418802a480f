package clayhook;

/**
 * One attempt at a request: that it is sent to one node. Times are clock times in seconds. Confined to the event loop.
 */
public final class Attempt {
    /** The request that is attempted. */
    public final Request request;
    /** The node that the request is sent to. */
    public final Node node;
    /** Whether a connection had to be opened, as far as the policy could tell. */
    public final boolean opensConnection;

    /** When the attempt was made; the request may have waited for a connection after that. */
    public final double sentAt;
    /** When the attempt is abandoned. */
    public final double timeoutAt;
    /** When the right to send it to a node in slow start expires; infinite for other nodes. */
    public final double slowStartTokenExpiresAt;
    /** How the attempt ended, or null while it is outstanding. */
    public AttemptOutcome outcome;

    /** Creates an outstanding attempt on a node that is not in slow start. */
    public Attempt(Request request, Node node, boolean opensConnection, double sentAt, double timeoutAt) {
        this(request, node, opensConnection, sentAt, timeoutAt, Double.POSITIVE_INFINITY);
    }

    /** Creates an outstanding attempt. */
    public Attempt(
            Request request,
            Node node,
            boolean opensConnection,
            double sentAt,
            double timeoutAt,
            double slowStartTokenExpiresAt) {
        this.request = request;
        this.node = node;
        this.opensConnection = opensConnection;
        this.sentAt = sentAt;
        this.timeoutAt = timeoutAt;
        this.slowStartTokenExpiresAt = slowStartTokenExpiresAt;
    }
}
