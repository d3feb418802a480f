package clayhook.config;

import clayhook.statements.StatementRules;

/**
 * The configuration from the operator's file, which complements the platform's configuration. Immutable.
 *
 * @param statements the settings of SQL statements; null if the router serves only the two key-value statements
 * @param user the user name with which the router connects to nodes
 * @param database the name of the database on the nodes
 * @param sharing the settings of sharing with peers; null if sharing is disabled
 */
public record OperatorConfiguration(
        StatementSettings statements, String user, String database, SharingSettings sharing) {
    /** The configuration that applies if the operator has no file. */
    public static final OperatorConfiguration DEFAULTS = new OperatorConfiguration(null, "clayhook", "core", null);

    /**
     * The settings of SQL statements.
     *
     * @param rules the rules that classify statements
     * @param trustComments whether a comment in a statement may name the request class; a comment never turns a write
     *     into a read
     * @param timeout the client timeout in seconds if neither a rule nor the client sets one; 0 for that of the request
     *     class
     * @param maxAnswerBytes the size of the largest answer that is forwarded to a client
     */
    public record StatementSettings(StatementRules rules, boolean trustComments, double timeout, int maxAnswerBytes) {}

    /**
     * Returns the names of the settings that differ from those of another configuration and take effect only after a
     * restart, separated by commas; empty if there are none.
     */
    public String restartOnlyDifferences(OperatorConfiguration other) {
        String differences = sameBackendSettings(other) ? "" : "statements.enabled, statements.answer_bytes or nodes";
        if (sameSharingExceptSeeds(other)) {
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

    private boolean sameSharingExceptSeeds(OperatorConfiguration other) {
        return (sharing == null) == (other.sharing == null)
                && (sharing == null || !other.sharing.differsExceptInSeeds(sharing));
    }
}
