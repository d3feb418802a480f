package clayhook.backend;

import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Role;
import clayhook.config.LoadReport;
import java.util.function.DoubleSupplier;

/**
 * What a node has reported of itself with one answer: its role, its applied position and its load report. A value that
 * cannot be true costs only itself. Event loop only.
 */
final class NodeReport {
    /** No node has data of the future; the clocks agree but for the correction of this one. */
    private static final double MAX_CLOCK_SKEW_SECONDS = 1;

    private static final double MILLIS_PER_SECOND = 1000.0;

    private final DoubleSupplier clock;
    private Role role = Role.UNKNOWN;
    private double position;
    private LoadReport load = LoadReport.NONE;

    /** {@code clock}: seconds since 1970, compared with reported positions. */
    NodeReport(DoubleSupplier clock) {
        this.clock = clock;
    }

    /** Forgets what came with the last answer. */
    void reset() {
        role = Role.UNKNOWN;
        position = 0;
        load = LoadReport.NONE;
    }

    /** Takes one reported value; unknown names are ignored. False for a value that cannot be true. */
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

    /** The result of an attempt that ended with this report. */
    AttemptResult toResult(AttemptOutcome outcome, double elapsedSeconds) {
        return new AttemptResult(outcome, elapsedSeconds, role, position, load.role(), load.position(), load.load());
    }
}
