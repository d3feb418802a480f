package clayhook.config;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.RoutingSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads the platform's settings: validates them, applies defaults, and maps their keys and values to the types of the
 * routing policy. Unknown keys are ignored.
 */
public final class SettingsReader {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double DEFAULT_IDLE_SECONDS = 15;
    private static final double DEFAULT_CONNECT_TIMEOUT_SECONDS = 0.25;

    private final Map<String, String> values;

    /**
     * Creates a reader of flattened settings.
     *
     * @param values the values by path, such as {@code rules.warm_after}; lists of scalars are joined by commas
     */
    public SettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /**
     * Reads the settings of the routing policy.
     *
     * @throws ConfigurationException if a setting is invalid; the message names the key
     */
    public RoutingSettings readSettings() throws ConfigurationException {
        return new RoutingSettings(
                (int) numberAtLeast(1, "balancers", 1),
                text("zone", ""),
                readRequestClasses(),
                text("discovery", "automatic").equals("subscribe"),
                !flag("rules.gone_is_advice", false),
                !text("domain.when_behind", "off").equals("off"),
                !text("domain.write_marks", "remembered").equals("remembered"),
                flag("limits.probing", true),
                flag("limits.may_cancel", true),
                flag("limits.parallel_tries", true),
                flag("limits.retry_after", false),
                seconds("limits.max_retry_after"),
                (int) numberAtLeast(1, "limits.most_tries", 1),
                number("rules.start_capacity", 1),
                seconds("rules.warm_after"),
                number("rules.overload_factor", 1),
                seconds("rules.overload_for"),
                (int) Math.max(1, number("limits.multiplex", 1)),
                number("limits.conn_idle", DEFAULT_IDLE_SECONDS * NANOS_PER_SECOND) / NANOS_PER_SECOND);
    }

    /** Returns the clock time of log position 0 in the simulator, in nanoseconds. */
    public long originTimeNanos() throws ConfigurationException {
        return (long) number("domain.origin_time", 0);
    }

    /** Returns the timeout of connecting to a node, in seconds. */
    public double connectTimeoutSeconds() throws ConfigurationException {
        return number("limits.dial_timeout", DEFAULT_CONNECT_TIMEOUT_SECONDS * NANOS_PER_SECOND) / NANOS_PER_SECOND;
    }

    /** Returns how long a router that was notified that a node drains may go on sending requests to it, in seconds. */
    public double drainGraceSeconds() throws ConfigurationException {
        return seconds("rules.drain_grace");
    }

    private List<RequestClass> readRequestClasses() throws ConfigurationException {
        String[] levels = text("domain.read_level", "").split(",", 0);
        String[] bounds = text("domain.max_age", "").split(",", 0);
        var requestClasses = new ArrayList<RequestClass>();
        int count = (int) number("grades.count", 0);
        for (int i = 0; i < count; i++) {
            String path = "grades." + i + ".";
            double clientTimeout = seconds(path + "hard_limit");
            requestClasses.add(new RequestClass(
                    text(path + "name", ""),
                    readIdempotency(path + "effect"),
                    parseConsistencyLevel(i < levels.length ? levels[i] : "any"),
                    seconds(path + "aim"),
                    clientTimeout,
                    number(path + "value", 1),
                    number(path + "late_worth", 0),
                    readDeduplicationScope(path + "group"),
                    seconds(path + "repeat_window"),
                    i < bounds.length && !bounds[i].isEmpty()
                            ? parseFinite("domain.max_age", bounds[i]) / NANOS_PER_SECOND
                            : 0));
        }
        return requestClasses;
    }

    private Idempotency readIdempotency(String key) throws ConfigurationException {
        String word = text(key, "");
        return switch (word) {
            case "idempotent" -> Idempotency.IDEMPOTENT;
            case "deduplicated" -> Idempotency.IDEMPOTENT_WITH_KEY;
            case "at_most_once" -> Idempotency.NON_IDEMPOTENT;
            default -> throw new ConfigurationException(key + ": unknown effect '" + word + "'");
        };
    }

    private DeduplicationScope readDeduplicationScope(String key) throws ConfigurationException {
        String word = text(key, "all");
        return switch (word) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.REPLICA_SET;
            default -> throw new ConfigurationException(key + ": unknown group of repeats '" + word + "'");
        };
    }

    private static ConsistencyLevel parseConsistencyLevel(String word) throws ConfigurationException {
        return switch (word) {
            case "write" -> ConsistencyLevel.WRITE;
            case "fresh" -> ConsistencyLevel.STRONG;
            case "session" -> ConsistencyLevel.SESSION;
            case "bounded" -> ConsistencyLevel.BOUNDED_STALENESS;
            case "any", "", "-" -> ConsistencyLevel.EVENTUAL;
            default -> throw new ConfigurationException("domain.read_level: unknown read level '" + word + "'");
        };
    }

    private String text(String key, String defaultValue) {
        return values.getOrDefault(key, defaultValue);
    }

    private boolean flag(String key, boolean defaultValue) throws ConfigurationException {
        String value = values.get(key);
        if (value != null && !List.of("true", "false", "1", "0").contains(value)) {
            throw new ConfigurationException(key + ": '" + value + "' is neither true nor false");
        }
        return value == null ? defaultValue : value.equals("true") || value.equals("1");
    }

    private double seconds(String key) throws ConfigurationException {
        return numberAtLeast(0, key, 0) / NANOS_PER_SECOND;
    }

    private double numberAtLeast(double minimum, String key, double defaultValue) throws ConfigurationException {
        double value = number(key, defaultValue);
        if (value < minimum) {
            throw new ConfigurationException(key + ": " + values.get(key) + " is less than " + (long) minimum);
        }
        return value;
    }

    private double number(String key, double defaultValue) throws ConfigurationException {
        String value = values.get(key);
        return value == null ? defaultValue : parseFinite(key, value);
    }

    private static double parseFinite(String key, String value) throws ConfigurationException {
        try {
            double parsed = Double.parseDouble(value);
            if (Double.isFinite(parsed)) {
                return parsed;
            }
        } catch (NumberFormatException e) {
            // falls through to the exception below, as infinite values and NaN do
        }
        throw new ConfigurationException(key + ": '" + value + "' is not a number");
    }
}
