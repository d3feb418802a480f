package clayhook.sql;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.Idempotency;
import clayhook.config.OperatorConfiguration;
import clayhook.protocol.RoutingComment;
import clayhook.protocol.SqlStatement;
import clayhook.statements.Classification;
import clayhook.statements.Classifier;
import clayhook.statements.ClientIdentity;
import clayhook.statements.SessionSettings;
import clayhook.statements.StatementEffect;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Makes commands of statements. The decision module is told no more than of the platform's own statements. */
public final class SqlAdmission {
    private final OperatorConfiguration.StatementSettings operator;
    private final Classifier classifier;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();

    /** What becomes of a statement. */
    public sealed interface AdmissionResult {
        /**
         * A command.
         *
         * @param seconds that its client waits
         * @param after position in seconds that the client's comment asks a read to cover; 0 for none
         */
        record Admitted(
                RequestClass requestClass,
                int replicaSetId,
                double timeoutSeconds,
                double requiredPosition,
                SqlStatement statement,
                Classification classification)
                implements AdmissionResult {}

        /** None; nothing of it goes to any node. */
        record Rejected(String sqlState, String reason) implements AdmissionResult {}
    }

    /** {@code seed}: the instance's own. */
    public SqlAdmission(OperatorConfiguration.StatementSettings operator, List<RequestClass> groups, long seed) {
        this.operator = operator;
        classifier = new Classifier(operator.rules(), seed);
        groups.forEach(group -> this.requestClasses.put(group.name(), group));
    }

    /** A turn of the loop begins. */
    public void beginTick() {
        classifier.turn();
    }

    public SessionSettings newSessionSettings() {
        return new SessionSettings(operator.rules().conforming());
    }

    public AdmissionResult admit(
            byte[] text, ClientIdentity client, double clientTimeout, Map<String, String> settings) {
        Classification classed = classifier.classify(text, client);
        if (classed.verdict() == StatementEffect.REFUSED) {
            return new AdmissionResult.Rejected("0A000", classed.why());
        }
        RequestClass group = requestClasses.get(classed.group());
        RoutingComment comment = operator.trustComments() ? RoutingComment.parseTrailing(text) : null;
        double wait = classed.timeout() > 0
                ? classed.timeout()
                : clientTimeout > 0
                        ? clientTimeout
                        : operator.timeout() > 0 ? operator.timeout() : group.clientTimeoutSeconds();
        int nodes = classed.nodes();
        double after = 0;
        if (comment != null) {
            try {
                RequestClass named = requestClasses.get(comment.field("c"));
                group = mayReplaceClass(named, classed, comment) ? named : group;
                nodes = comment.replicaSetIdOr(nodes);
                after = comment.secondsOr("after", 0);
                wait = comment.secondsOr("d", wait);
            } catch (IllegalArgumentException e) {
                return new AdmissionResult.Rejected("42601", e.getMessage());
            }
        }
        return new AdmissionResult.Admitted(
                group, nodes, wait, after, new SqlStatement(text, settings, classed.opaque()), classed);
    }

    /** The same once a node has refused to run as a read what was taken for one: it never ran, and is a write. */
    public AdmissionResult readmitAsWrite(
            Classification refused,
            byte[] text,
            ClientIdentity client,
            double clientTimeout,
            Map<String, String> settings) {
        classifier.wrote(refused);
        AdmissionResult order = admit(text, client, clientTimeout, settings);
        return order instanceof AdmissionResult.Admitted taken
                        && taken.classification().verdict() == StatementEffect.WRITE
                ? order
                : new AdmissionResult.Rejected("25006", "the statement writes, which its text does not show");
    }

    /** A comment may make a write of a read; what may write stays one, and is keyed only with a key. */
    private static boolean mayReplaceClass(RequestClass named, Classification classed, RoutingComment comment) {
        return named != null
                && (named.consistency() == ConsistencyLevel.WRITE
                        ? named.idempotency() == Idempotency.NON_IDEMPOTENT
                                || named.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && comment.hasIdempotencyKey()
                        : classed.verdict() == StatementEffect.READ);
    }

    /** A statement was answered after so many seconds. */
    public void recordServiceTime(Classification classed, double seconds) {
        classifier.took(classed, seconds);
    }

    /** What came since the last call, for the log. */
    public String summary() {
        Classifier.Counts counts = classifier.counts();
        return "shapes held " + classifier.size() + " in " + classifier.weight() / 1024
                + " KiB, statements of a known shape " + counts.hits() + ", read anew " + counts.read()
                + ", past the budget " + counts.unread();
    }
}
