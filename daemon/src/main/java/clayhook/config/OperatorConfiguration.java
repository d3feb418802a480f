package clayhook.config;

import clayhook.statements.StatementRules;

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
}
