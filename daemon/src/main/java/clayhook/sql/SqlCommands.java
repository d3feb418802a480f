package clayhook.sql;

import clayhook.RequestClass;
import clayhook.RequestClass.Idempotency;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.config.OperatorConfiguration;
import clayhook.protocol.Comment;
import clayhook.protocol.SqlStatement;
import clayhook.statements.Classed;
import clayhook.statements.Classifier;
import clayhook.statements.Client;
import clayhook.statements.SessionSettings;
import clayhook.statements.Verdict;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Makes commands of statements. The decision module is told no more than of the platform's own statements. */
public final class SqlCommands {
    private final OperatorConfiguration.StatementSettings operator;
    private final Classifier classifier;
    private final Map<String, RequestClass> groups = new HashMap<>();

    /** What becomes of a statement. */
    public sealed interface Order {
        /**
         * A command.
         *
         * @param seconds that its client waits
         * @param after position in seconds that the client's comment asks a read to cover; 0 for none
         */
        record Taken(
                RequestClass group, int nodes, double seconds, double after, SqlStatement statement, Classed classed)
                implements Order {}

        /** None; nothing of it goes to any node. */
        record Refused(String code, String why) implements Order {}
    }

    /** {@code seed}: the instance's own. */
    public SqlCommands(OperatorConfiguration.StatementSettings operator, List<RequestClass> groups, long seed) {
        this.operator = operator;
        classifier = new Classifier(operator.rules(), seed);
        groups.forEach(group -> this.groups.put(group.name(), group));
    }

    /** A turn of the loop begins. */
    public void turn() {
        classifier.turn();
    }

    public SessionSettings session() {
        return new SessionSettings(operator.rules().conforming());
    }

    public Order order(byte[] text, Client client, double clientTimeout, Map<String, String> settings) {
        Classed classed = classifier.classify(text, client);
        if (classed.verdict() == Verdict.REFUSED) {
            return new Order.Refused("0A000", classed.why());
        }
        RequestClass group = groups.get(classed.group());
        Comment comment = operator.trustComments() ? Comment.ending(text) : null;
        double wait = classed.timeout() > 0
                ? classed.timeout()
                : clientTimeout > 0
                        ? clientTimeout
                        : operator.timeout() > 0 ? operator.timeout() : group.clientTimeoutSeconds();
        int nodes = classed.nodes();
        double after = 0;
        if (comment != null) {
            try {
                RequestClass named = groups.get(comment.text("c"));
                group = trusted(named, classed, comment) ? named : group;
                nodes = comment.nodes(nodes);
                after = comment.seconds("after", 0);
                wait = comment.seconds("d", wait);
            } catch (IllegalArgumentException e) {
                return new Order.Refused("42601", e.getMessage());
            }
        }
        return new Order.Taken(group, nodes, wait, after, new SqlStatement(text, settings, classed.opaque()), classed);
    }

    /** The same once a node has refused to run as a read what was taken for one: it never ran, and is a write. */
    public Order orderAsWrite(
            Classed refused, byte[] text, Client client, double clientTimeout, Map<String, String> settings) {
        classifier.wrote(refused);
        Order order = order(text, client, clientTimeout, settings);
        return order instanceof Order.Taken taken && taken.classed().verdict() == Verdict.WRITE
                ? order
                : new Order.Refused("25006", "the statement writes, which its text does not show");
    }

    /** A comment may make a write of a read; what may write stays one, and is keyed only with a key. */
    private static boolean trusted(RequestClass named, Classed classed, Comment comment) {
        return named != null
                && (named.consistency() == ConsistencyLevel.WRITE
                        ? named.idempotency() == Idempotency.NON_IDEMPOTENT || named.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && comment.keyed()
                        : classed.verdict() == Verdict.READ);
    }

    /** A statement was answered after so many seconds. */
    public void took(Classed classed, double seconds) {
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
