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
 * Admits the SQL statements of clients: determines the request class, replica set and timeout of each statement, or
 * rejects it. The routing policy gets the same information about an SQL statement as about a key-value statement.
 *
 * <p>All methods must be called on the event loop. Does no I/O and reads no clock.
 */
public final class SqlAdmission {
    private static final int BYTES_PER_KIB = 1024;

    private final OperatorConfiguration.StatementSettings statementSettings;
    private final Classifier classifier;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();

    /** The result of the admission of one statement. */
    public sealed interface AdmissionResult {
        /**
         * A statement that was admitted and becomes a request.
         *
         * @param timeoutSeconds the client timeout
         * @param requiredPosition the log position in seconds that a node must have applied for a read, as given in the
         *     routing comment; 0 for none
         */
        record Admitted(
                RequestClass requestClass,
                int replicaSetId,
                double timeoutSeconds,
                double requiredPosition,
                SqlStatement statement,
                Classification classification)
                implements AdmissionResult {}

        /** A statement that is not sent to any node; the client receives the SQLSTATE code and the reason. */
        record Rejected(String sqlState, String reason) implements AdmissionResult {}
    }

    /**
     * Creates the admission of one router.
     *
     * @param seed the hash seed of this router, which must be unknown to clients, because it protects the statement
     *     cache against hash collisions
     */
    public SqlAdmission(
            OperatorConfiguration.StatementSettings statementSettings, List<RequestClass> requestClasses, long seed) {
        this.statementSettings = statementSettings;
        classifier = new Classifier(statementSettings.rules(), seed);
        requestClasses.forEach(requestClass -> this.requestClasses.put(requestClass.name(), requestClass));
    }

    /** Starts an event loop iteration and renews the limit on parsing statements of unknown shape. */
    public void beginTick() {
        classifier.beginTick();
    }

    /** Creates the settings of a new client session. */
    public SessionSettings newSessionSettings() {
        return new SessionSettings(statementSettings.rules().standardConformingStrings());
    }

    /**
     * Admits a statement or rejects it.
     *
     * @param text the bytes that the client sent, without the terminating zero
     * @param clientTimeout the statement timeout in seconds that the client has set; 0 if it has set none
     * @param settings the settings of the client session: the values, as SQL text, by name
     */
    public AdmissionResult admit(
            byte[] text, ClientIdentity client, double clientTimeout, Map<String, String> settings) {
        Classification classification = classifier.classify(text, client);
        if (classification.verdict() == StatementEffect.REFUSED) {
            return new AdmissionResult.Rejected(SqlState.FEATURE_NOT_SUPPORTED, classification.reason());
        }
        RequestClass requestClass = requestClasses.get(classification.requestClass());
        var admitted = new AdmissionResult.Admitted(
                requestClass,
                classification.replicaSetId(),
                timeoutSeconds(classification, clientTimeout, requestClass),
                0,
                new SqlStatement(text, settings, classification.mayChangeSession()),
                classification);
        RoutingComment comment = statementSettings.trustComments() ? RoutingComment.parseTrailing(text) : null;
        if (comment == null) {
            return admitted;
        }
        try {
            return applyComment(admitted, comment);
        } catch (InvalidStatementException e) {
            return new AdmissionResult.Rejected(SqlState.SYNTAX_ERROR, e.getMessage());
        }
    }

    /** The client timeout in seconds: the first one set of the matching rule, client, operator and request class. */
    private double timeoutSeconds(Classification classification, double clientTimeout, RequestClass requestClass) {
        if (classification.timeoutSeconds() > 0) {
            return classification.timeoutSeconds();
        }
        if (clientTimeout > 0) {
            return clientTimeout;
        }
        return statementSettings.timeout() > 0 ? statementSettings.timeout() : requestClass.clientTimeoutSeconds();
    }

    private AdmissionResult.Admitted applyComment(AdmissionResult.Admitted admitted, RoutingComment comment) {
        RequestClass commentClass = requestClasses.get(comment.field(RoutingComment.REQUEST_CLASS));
        boolean replacesClass = commentMayReplaceClass(commentClass, admitted.classification(), comment);
        // The order matters, because the client receives the error of the first invalid field.
        int replicaSetId = comment.replicaSetIdOr(admitted.replicaSetId());
        double requiredPosition = comment.secondsOr(RoutingComment.REQUIRED_POSITION, admitted.requiredPosition());
        double timeoutSeconds = comment.secondsOr(RoutingComment.TIMEOUT, admitted.timeoutSeconds());
        return new AdmissionResult.Admitted(
                replacesClass ? commentClass : admitted.requestClass(),
                replicaSetId,
                timeoutSeconds,
                requiredPosition,
                admitted.statement(),
                admitted.classification());
    }

    /**
     * Admits a statement as a write after a node refused to execute it as a read. The node has not executed it.
     * Statements of the same shape are classified as writes from then on.
     *
     * @param refusedClassification the classification with which the statement was sent
     */
    public AdmissionResult readmitAsWrite(
            Classification refusedClassification,
            byte[] text,
            ClientIdentity client,
            double clientTimeout,
            Map<String, String> settings) {
        classifier.reclassifyAsWrite(refusedClassification, text, client);
        AdmissionResult result = admit(text, client, clientTimeout, settings);
        boolean admittedAsWrite = result instanceof AdmissionResult.Admitted admitted
                && admitted.classification().verdict() == StatementEffect.WRITE;
        return admittedAsWrite
                ? result
                : new AdmissionResult.Rejected(
                        SqlState.READ_ONLY_TRANSACTION, "the statement writes, which its text does not show");
    }

    /**
     * Whether the request class of a comment replaces that of the classification. A comment may turn a read into a
     * write, but not a write into a read, and it must contain an idempotency key to make a write idempotent.
     */
    private static boolean commentMayReplaceClass(
            RequestClass commentClass, Classification classification, RoutingComment comment) {
        if (commentClass == null) {
            return false;
        }
        if (commentClass.consistency() != ConsistencyLevel.WRITE) {
            return classification.verdict() == StatementEffect.READ;
        }
        return commentClass.idempotency() == Idempotency.NON_IDEMPOTENT
                || (commentClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && comment.hasIdempotencyKey());
    }

    /** Whether a classification was made by the current rules. */
    public boolean isCurrent(Classification classification) {
        return classifier.isCurrent(classification);
    }

    /** Records the time in seconds until a statement was answered, for the cost estimate of its shape. */
    public void recordServiceTime(Classification classification, double seconds) {
        classifier.recordServiceTime(classification, seconds);
    }

    /** Formats the counters since the previous call as a text for the log. */
    public String summary() {
        Classifier.Counts counts = classifier.counts();
        return "shapes cached " + classifier.size() + " in " + classifier.weight() / BYTES_PER_KIB
                + " KiB, cache hits " + counts.hits() + ", shapes parsed " + counts.parsed()
                + ", over the parse budget "
                + counts.overBudget();
    }
}
