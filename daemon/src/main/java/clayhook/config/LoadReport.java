package clayhook.config;

import clayhook.Role;

/**
 * The load report of a node: its role, applied position and load. The simulator and nodes on sockets send the same
 * fields, of which the load has several names.
 *
 * @param role the role that the node reports, or {@link Role#UNKNOWN}
 * @param position the applied log position, as clock time in seconds; 0 if not reported
 * @param load the number of requests that run or wait at the node; negative if not reported
 */
public record LoadReport(Role role, double position, double load) {
    /** The highest load that is plausible; a report with a higher one is invalid. */
    private static final double MAX_LOAD = 1e6;

    /** A report without any value. */
    public static final LoadReport NONE = new LoadReport(Role.UNKNOWN, 0, -1);

    /**
     * Parses a comma-separated list of name and value pairs. Unknown names are ignored.
     *
     * @param text the report; null or empty for none
     * @param separator the character between a name and its value
     * @param originTime the clock time of position 0, in seconds
     * @throws IllegalArgumentException if a value is malformed or out of range; the message is a predicate that the
     *     caller appends to the name of the report's source
     */
    public static LoadReport parse(String text, char separator, double originTime) {
        if (text == null || text.isEmpty()) {
            return NONE;
        }
        Role role = Role.UNKNOWN;
        double position = 0;
        double load = -1;
        // Limit 0 drops the empty string after a trailing comma.
        for (String pair : text.split(",", 0)) {
            int separatorIndex = pair.indexOf(separator);
            if (separatorIndex < 0) {
                throw new IllegalArgumentException("has a report value '" + pair + "' without a name");
            }
            double value = parseFinite(pair.substring(separatorIndex + 1));
            switch (pair.substring(0, separatorIndex).trim()) {
                case "x0" -> position = originTime + value;
                case "x1" -> role = value > 0.5 ? Role.PRIMARY : Role.REPLICA;
                case "rif", "inflight", "q", "queue" -> {
                    if (value < 0 || value > MAX_LOAD) {
                        throw new IllegalArgumentException("has " + value + " commands in its report");
                    }
                    load = Math.max(load, value);
                }
                default -> {}
            }
        }
        return new LoadReport(role, position, load);
    }

    private static double parseFinite(String text) {
        double value;
        try {
            value = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            value = Double.NaN;
        }
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException("has '" + text + "' in its report, not a number");
        }
        return value;
    }
}
