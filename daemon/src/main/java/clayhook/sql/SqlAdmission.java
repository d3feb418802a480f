package clayhook.sql;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.Idempotency;
import clayhook.config.OperatorConfiguration;
import clayhook.protocol.InvalidStatementException;
import clayhook.protocol.RoutingComment;
import clayhook.protocol.SqlState;
import clayhook.protocol.SqlStatement;
import clayhook.statements.Classification;
import clayhook.statements.Classifier;
import clayhook.statements.ClientIdentity;
import clayhook.statements.SessionSettings;
import clayhook.statements.StatementEffect;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Admits client statements of any kind: finds the request class, replica set and timeout of each, or rejects it. The
 * routing policy learns no more of a statement than of the platform's own ones.
 *
 * <p>Event loop only. Pure: does no I/O and reads no clock.
 */
public final class SqlAdmission {
    private static final int BYTES_PER_KIB = 1024;

    private final OperatorConfiguration.StatementSettings operator;
    private final Classifier classifier;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();

    /** Whether a statement is handled, and how. */
    public sealed interface AdmissionResult {
        /**
         * The statement becomes a request.
         *
         * @param timeoutSeconds how long the client waits for the response
         * @param requiredPosition the log position in seconds that a read must cover, as stated in the routing comment;
         *     0 for none
         */
        record Admitted(
                RequestClass requestClass,
                int replicaSetId,
                double timeoutSeconds,
                double requiredPosition,
                SqlStatement statement,
                Classification classification)
                implements AdmissionResult {}

        /** The statement is sent to no node; code and reason are for the client. */
        record Rejected(String sqlState, String reason) implements AdmissionResult {}
    }

    /**
     * Creates the admission of one router.
     *
     * @param seed of this router; clients must not know it, as it protects the statement cache from hash collisions
     */
    public SqlAdmission(
            OperatorConfiguration.StatementSettings operator, List<RequestClass> requestClasses, long seed) {
        this.operator = operator;
        classifier = new Classifier(operator.rules(), seed);
        requestClasses.forEach(requestClass -> this.requestClasses.put(requestClass.name(), requestClass));
    }

    /** Begins an event loop iteration, which has a limit for statements of unknown shape. */
    public void beginTick() {
        classifier.turn();
    }

    /** The settings of a new client session. */
    public SessionSettings newSessionSettings() {
        return new SessionSettings(operator.rules().conforming());
    }

    /**
     * Admits a statement or rejects it.
     *
     * @param text the bytes of the client, without the closing zero
     * @param clientTimeout seconds that the client has set for its statements; 0 where it set none
     * @param settings of the client's session: names, and values as SQL text
     */
    public AdmissionResult admit(
            byte[] text, ClientIdentity client, double clientTimeout, Map<String, String> settings) {
        Classification classification = classifier.classify(text, client);
        if (classification.verdict() == StatementEffect.REFUSED) {
            return new AdmissionResult.Rejected(SqlState.FEATURE_NOT_SUPPORTED, classification.why());
        }
        RequestClass requestClass = requestClasses.get(classification.group());
        var admitted = new AdmissionResult.Admitted(
                requestClass,
                classification.nodes(),
                timeoutSeconds(classification, clientTimeout, requestClass),
                0,
                new SqlStatement(text, settings, classification.opaque()),
                classification);
        RoutingComment comment = operator.trustComments() ? RoutingComment.parseTrailing(text) : null;
        if (comment == null) {
            return admitted;
        }
        try {
            return withComment(admitted, comment);
        } catch (InvalidStatementException e) {
            return new AdmissionResult.Rejected(SqlState.SYNTAX_ERROR, e.getMessage());
        }
    }

    /** The first that is set: by the rule that matched, by the client, by the operator, for the request class. */
    private double timeoutSeconds(Classification classification, double clientTimeout, RequestClass requestClass) {
        if (classification.timeout() > 0) {
            return classification.timeout();
        }
        if (clientTimeout > 0) {
            return clientTimeout;
        }
        return operator.timeout() > 0 ? operator.timeout() : requestClass.clientTimeoutSeconds();
    }

    private AdmissionResult.Admitted withComment(AdmissionResult.Admitted admitted, RoutingComment comment) {
        RequestClass named = requestClasses.get(comment.field(RoutingComment.REQUEST_CLASS));
        boolean replaces = mayReplaceClass(named, admitted.classification(), comment);
        // The order matters: the client gets the error of the first invalid field.
        int replicaSetId = comment.replicaSetIdOr(admitted.replicaSetId());
        double requiredPosition = comment.secondsOr(RoutingComment.REQUIRED_POSITION, admitted.requiredPosition());
        double timeoutSeconds = comment.secondsOr(RoutingComment.TIMEOUT, admitted.timeoutSeconds());
        return new AdmissionResult.Admitted(
                replaces ? named : admitted.requestClass(),
                replicaSetId,
                timeoutSeconds,
                requiredPosition,
                admitted.statement(),
                admitted.classification());
    }

    /**
     * Admits a statement that a node has refused to run as a read: it has not run, and its shape counts as a write from
     * now on.
     *
     * @param refused the classification under which it was sent
     */
    public AdmissionResult readmitAsWrite(
            Classification refused,
            byte[] text,
            ClientIdentity client,
            double clientTimeout,
            Map<String, String> settings) {
        classifier.wrote(refused);
        AdmissionResult result = admit(text, client, clientTimeout, settings);
        boolean isWrite = result instanceof AdmissionResult.Admitted admitted
                && admitted.classification().verdict() == StatementEffect.WRITE;
        return isWrite
                ? result
                : new AdmissionResult.Rejected(
                        SqlState.READ_ONLY_TRANSACTION, "the statement writes, which its text does not show");
    }

    /**
     * Whether the request class in a comment replaces that of the classification. A comment may make a write of a read,
     * but no read of a write, and it needs an idempotency key to make a write idempotent.
     */
    private static boolean mayReplaceClass(RequestClass named, Classification classification, RoutingComment comment) {
        if (named == null) {
            return false;
        }
        if (named.consistency() != ConsistencyLevel.WRITE) {
            return classification.verdict() == StatementEffect.READ;
        }
        return named.idempotency() == Idempotency.NON_IDEMPOTENT
                || (named.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && comment.hasIdempotencyKey());
    }

    /** Records that a statement was answered after so many seconds, for the cost estimates of its shape. */
    public void recordServiceTime(Classification classification, double seconds) {
        classifier.took(classification, seconds);
    }

    /** The counters since the last call, for the log. */
    public String summary() {
        Classifier.Counts counts = classifier.counts();
        return "shapes cached " + classifier.size() + " in " + classifier.weight() / BYTES_PER_KIB
                + " KiB, cache hits " + counts.hits() + ", shapes parsed " + counts.read() + ", over the parse budget "
                + counts.unread();
    }
}
