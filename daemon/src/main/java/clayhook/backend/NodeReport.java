package clayhook.backend;

import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Role;
import clayhook.config.LoadReport;
import java.util.function.DoubleSupplier;

/**
 * The values that a node reported about itself with one answer: its role, its applied position and its load report. An
 * implausible value is rejected without affecting the others. Event loop only.
 */
final class NodeReport {
    /**
     * The tolerance for reported positions later than this router's clock. No node has data from the future, and the
     * clocks agree except for the gradual correction of this router's clock.
     */
    private static final double MAX_CLOCK_SKEW_SECONDS = 1;

    private static final double MILLIS_PER_SECOND = 1000.0;

    private final DoubleSupplier clock;
    private Role role = Role.UNKNOWN;
    private double position;
    private LoadReport load = LoadReport.NONE;

    /**
     * Creates an empty report.
     *
     * @param clock the time in seconds since 1970, against which reported positions are checked
     */
    NodeReport(DoubleSupplier clock) {
        this.clock = clock;
    }

    /** Discards the values reported with the previous answer. */
    void reset() {
        role = Role.UNKNOWN;
        position = 0;
        load = LoadReport.NONE;
    }

    /** Records a reported value; ignores unknown names. Returns false if the value is malformed or implausible. */
    boolean accept(String name, String value) {
        try {
            switch (name) {
                case "role" -> role = parseRole(value);
                case "applied_ms" -> position = requirePlausible(Long.parseLong(value) / MILLIS_PER_SECOND);
                case "load" -> {
                    LoadReport reported = LoadReport.parse(value, '=', 0);
                    requirePlausible(reported.position());
                    load = reported;
                }
                default -> {}
            }
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static Role parseRole(String value) {
        return switch (value) {
            case "primary" -> Role.PRIMARY;
            case "replica" -> Role.REPLICA;
            default -> Role.UNKNOWN;
        };
    }

    private double requirePlausible(double reportedPosition) {
        if (reportedPosition < 0 || reportedPosition > clock.getAsDouble() + MAX_CLOCK_SKEW_SECONDS) {
            throw new IllegalArgumentException("a position that cannot be");
        }
        return reportedPosition;
    }

    /** Creates the result of an attempt from these reported values. */
    AttemptResult toResult(AttemptOutcome outcome, double elapsedSeconds) {
        return new AttemptResult(outcome, elapsedSeconds, role, position, load.role(), load.position(), load.load());
    }
}
