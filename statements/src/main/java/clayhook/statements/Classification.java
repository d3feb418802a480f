package clayhook.statements;

/**
 * What a statement is taken for.
 *
 * @param shape null where its shape was not read
 * @param group the command group
 * @param nodes the group of nodes
 * @param cost seconds that it is expected to take
 * @param high seconds that all but one in twenty of its shape stay under; the cost where that was not measured
 * @param rule the name of the rule that matched, {@code default} if none did
 * @param why the part that decided the verdict
 * @param timeout seconds that its client waits; 0 where the rule says nothing
 * @param mark the literal by which nodes drop its repeats, or null
 * @param opaque it may leave something behind in the session of the node that ran it
 */
public record Classification(
        StatementEffect verdict,
        Shape shape,
        String group,
        int nodes,
        double cost,
        double high,
        String rule,
        String why,
        double timeout,
        String mark,
        boolean opaque) {

    /** The fingerprint of its shape; empty where that was not read. */
    public String fingerprint() {
        return shape == null ? "" : shape.fingerprint();
    }

    Classification refused(String reason) {
        return new Classification(StatementEffect.REFUSED, shape, "", 0, cost, high, rule, reason, 0, null, false);
    }

    Classification at(int group) {
        return new Classification(verdict, shape, this.group, group, cost, high, rule, why, timeout, mark, opaque);
    }
}
