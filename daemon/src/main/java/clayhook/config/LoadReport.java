package clayhook.config;

import clayhook.Role;

/**
 * What a node reports of itself. The simulator and the sockets use the same fields, some under two names.
 *
 * @param role that the node claims
 * @param position its applied log position in clock seconds; 0 for none
 * @param load the requests that run or wait at the node; below 0 for none
 */
public record LoadReport(Role role, double position, double load) {
    /** A load beyond this is taken for an error in the report. */
    private static final double MAX_LOAD = 1e6;

    /** Reports nothing. */
    public static final LoadReport NONE = new LoadReport(Role.UNKNOWN, 0, -1);

    /**
     * Parses name and value pairs that are separated by commas. Unknown names are ignored.
     *
     * @param separator between a name and its value
     * @param origin the clock time of position 0, in seconds
     * @throws IllegalArgumentException with the fault, to follow the name of what holds the report
     */
    public static LoadReport parse(String text, char separator, double origin) {
        if (text == null || text.isEmpty()) {
            return NONE;
        }
        Role role = Role.UNKNOWN;
        double position = 0;
        double load = -1;
        // Limit 0: a trailing comma is ignored.
        for (String pair : text.split(",", 0)) {
            int at = pair.indexOf(separator);
            if (at < 0) {
                throw new IllegalArgumentException("has a report value '" + pair + "' without a name");
            }
            double value = parseFinite(pair.substring(at + 1));
            switch (pair.substring(0, at).trim()) {
                case "x0" -> position = origin + value;
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
