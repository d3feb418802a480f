package clayhook.config;

import clayhook.RequestClass;
import clayhook.statements.StatementRules;
import java.util.List;

/**
 * What the operator's own file says, beside the platform's configuration.
 *
 * @param statements null where only the two fixed forms of statement are taken
 * @param user as which the router connects to nodes
 * @param database that it connects to
 * @param sharing null where it shares nothing with other routers
 */
public record OperatorConfiguration(
        StatementSettings statements, String user, String database, SharingSettings sharing) {
    /** Without a file. */
    public static final OperatorConfiguration DEFAULTS = new OperatorConfiguration(null, "clayhook", "core", null);

    /**
     * Statements of any kind.
     *
     * @param trustComments the comment that names a command counts, where it makes no read of a write
     * @param timeout seconds that a client waits where neither rule nor client says so; 0 for its command group's time
     * @param longestAnswer bytes of an answer that are passed on
     */
    public record StatementSettings(StatementRules rules, boolean trustComments, double timeout, int maxAnswerBytes) {}

    /** Checks what it says against the command groups there are; throws BadConfig naming place and key. */
    interface RequestClassValidator {
        void validate(String key, boolean writes, boolean marked, String group) throws ConfigurationException;

        /** Where the command groups are not known, as in tools, any name will do. */
        static RequestClassValidator forClasses(List<RequestClass> groups, TomlSection toml) {
            return groups == null
                    ? (key, writes, marked, name) -> {}
                    : (key, writes, marked, name) -> {
                        RequestClass group = groups.stream()
                                .filter(g -> g.name().equals(name))
                                .findFirst()
                                .orElse(null);
                        if (group == null) {
                            throw toml.invalid(key, "there is no command group '" + name + "'");
                        } else if (writes != (group.consistency() == RequestClass.ConsistencyLevel.WRITE)) {
                            throw toml.invalid(
                                    key, "command group '" + name + "' is for " + (writes ? "reads" : "writes"));
                        } else if (writes
                                && marked != (group.idempotency() == RequestClass.Idempotency.IDEMPOTENT_WITH_KEY)) {
                            throw toml.invalid(
                                    key,
                                    "command group '" + name + "' is "
                                            + (marked
                                                    ? "not keyed, but the rule names a mark"
                                                    : group.idempotency()
                                                                    == RequestClass.Idempotency.IDEMPOTENT_WITH_KEY
                                                            ? "keyed, which needs a rule with a mark"
                                                            : "fit"));
                        } else if (writes && group.idempotency() == RequestClass.Idempotency.IDEMPOTENT) {
                            throw toml.invalid(
                                    key, "command group '" + name + "' is replayable, which no unknown write is");
                        }
                    };
        }
    }
}
