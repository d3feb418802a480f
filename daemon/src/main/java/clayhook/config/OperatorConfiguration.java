package clayhook.config;

import clayhook.RequestClass;
import clayhook.statements.StatementRules;
import java.util.List;

/**
 * What the operator's own file says, beside the platform's configuration. Immutable.
 *
 * @param statements null where SQL statements are not served, only the two key-value forms
 * @param user as which the router connects to nodes
 * @param database that it connects to
 * @param sharing null where nothing is shared with peers
 */
public record OperatorConfiguration(
        StatementSettings statements, String user, String database, SharingSettings sharing) {
    /** Without a file. */
    public static final OperatorConfiguration DEFAULTS = new OperatorConfiguration(null, "clayhook", "core", null);

    /**
     * How SQL statements are served.
     *
     * @param rules by which statements are classified
     * @param trustComments whether a comment may name the request class, as long as it makes no read of a write
     * @param timeout seconds that a client waits where neither rule nor client says so; 0 for its request class's time
     * @param maxAnswerBytes bytes of an answer that are passed on
     */
    public record StatementSettings(StatementRules rules, boolean trustComments, double timeout, int maxAnswerBytes) {}

    /** Names what differs from another configuration and takes a restart to apply; empty for nothing. */
    public String restartOnlyDifferences(OperatorConfiguration other) {
        String differences = sameBackendSettings(other) ? "" : "statements.enabled, statements.answer_bytes or nodes";
        if (sameSharingBesidesSeeds(other)) {
            return differences;
        }
        return differences + (differences.isEmpty() ? "" : ", ") + "sharing but its seeds";
    }

    private boolean sameBackendSettings(OperatorConfiguration other) {
        return (statements == null) == (other.statements == null)
                && user.equals(other.user)
                && database.equals(other.database)
                && (statements == null || statements.maxAnswerBytes() == other.statements.maxAnswerBytes());
    }

    private boolean sameSharingBesidesSeeds(OperatorConfiguration other) {
        return (sharing == null) == (other.sharing == null)
                && (sharing == null || !other.sharing.differsBeyondSeeds(sharing));
    }

    /** Checks a key that names a request class against the request classes there are. */
    interface RequestClassValidator {
        /** Throws ConfigurationException naming place and key where the class does not fit its use. */
        void validate(String key, boolean writes, boolean hasOutcomeKey, String name) throws ConfigurationException;

        /** {@code requestClasses}: null where they are not known, as in tools; then any name is accepted. */
        static RequestClassValidator forClasses(List<RequestClass> requestClasses, TomlSection section) {
            if (requestClasses == null) {
                return (key, writes, hasOutcomeKey, name) -> {};
            }
            return (key, writes, hasOutcomeKey, name) -> {
                RequestClass requestClass = find(requestClasses, name);
                if (requestClass == null) {
                    throw section.invalid(key, "there is no command group '" + name + "'");
                }
                String mismatch = mismatch(requestClass, writes, hasOutcomeKey);
                if (mismatch != null) {
                    throw section.invalid(key, "command group '" + name + "' is " + mismatch);
                }
            };
        }

        private static RequestClass find(List<RequestClass> requestClasses, String name) {
            for (RequestClass requestClass : requestClasses) {
                if (requestClass.name().equals(name)) {
                    return requestClass;
                }
            }
            return null;
        }

        /** How a request class does not fit its use, or null. */
        private static String mismatch(RequestClass requestClass, boolean writes, boolean hasOutcomeKey) {
            boolean keyed = requestClass.idempotency() == RequestClass.Idempotency.IDEMPOTENT_WITH_KEY;
            if (writes != (requestClass.consistency() == RequestClass.ConsistencyLevel.WRITE)) {
                return "for " + (writes ? "reads" : "writes");
            } else if (writes && hasOutcomeKey && !keyed) {
                return "not keyed, but the rule names a mark";
            } else if (writes && keyed && !hasOutcomeKey) {
                return "keyed, which needs a rule with a mark";
            } else if (writes && requestClass.idempotency() == RequestClass.Idempotency.IDEMPOTENT) {
                return "replayable, which no unknown write is";
            }
            return null;
        }
    }
}
