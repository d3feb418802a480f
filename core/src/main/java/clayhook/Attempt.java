package clayhook;

/**
 * One attempt to execute a request on one node. Times are clock times in seconds. Not thread-safe: confined to the
 * event loop.
 */
public final class Attempt {
    /** The request to execute. */
    public final Request request;
    /** The node that the request is sent to. */
    public final Node node;
    /** Whether the policy expects that a connection has to be opened. */
    public final boolean opensConnection;

    /** When the attempt was created; it may have waited for a connection after that. */
    public final double sentAt;
    /** When the attempt times out and is abandoned. */
    public final double timeoutAt;
    /** When the slow-start token of the attempt expires; infinite for a node that was not in slow start. */
    public final double slowStartTokenExpiresAt;
    /** The outcome of the attempt, or null while it is outstanding. */
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
