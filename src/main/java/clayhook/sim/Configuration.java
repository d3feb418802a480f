package clayhook.sim;

import clayhook.CommandGroup;
import clayhook.CommandGroup.Effect;
import clayhook.CommandGroup.ReadLevel;
import clayhook.CommandGroup.Scope;
import clayhook.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The settings of a CONFIGURE line. Unknown keys are passed over. */
final class Configuration {
    private static final double NANOS = 1e9;
    private final Map<String, String> values = new HashMap<>();
    private final Line line;

    Configuration(Line line) throws BadInput {
        this.line = line;
        for (String pair : line.rest().split(" ")) {
            int sign = pair.indexOf('=');
            if (sign > 0) {
                values.put(pair.substring(0, sign), pair.substring(sign + 1));
            } else if (!pair.isEmpty()) {
                throw line.bad("has a setting '" + pair + "' without a value");
            }
        }
    }

    /** The clock time from which positions are reckoned, in nanoseconds. */
    long origin() throws BadInput {
        return (long) number("domain.origin_time", 0);
    }

    Settings settings() throws BadInput {
        return new Settings((int) number("balancers", 1), text("zone", ""), groups(),
                text("discovery", "automatic").equals("subscribe"), !flag("rules.gone_is_advice", false),
                !text("domain.when_behind", "off").equals("off"),
                !text("domain.write_marks", "remembered").equals("remembered"),
                flag("limits.probing", true), flag("limits.may_cancel", true), flag("limits.parallel_tries", true),
                flag("limits.retry_after", false), seconds("limits.max_retry_after"),
                (int) number("limits.most_tries", 1), number("rules.start_capacity", 1),
                seconds("rules.warm_after"), number("rules.overload_factor", 1), seconds("rules.overload_for"),
                (int) Math.max(1, number("limits.multiplex", 1)), number("limits.conn_idle", 15 * NANOS) / NANOS);
    }

    private List<CommandGroup> groups() throws BadInput {
        String[] levels = text("domain.read_level", "").split(",");
        String[] bounds = text("domain.max_age", "").split(",");
        var groups = new ArrayList<CommandGroup>();
        int count = (int) number("grades.count", 0);
        for (int i = 0; i < count; i++) {
            String path = "grades." + i + ".";
            double clientTimeout = seconds(path + "hard_limit");
            groups.add(new CommandGroup(text(path + "name", ""), effect(text(path + "effect", "")),
                    level(i < levels.length ? levels[i] : "any"), seconds(path + "aim"), clientTimeout,
                    number(path + "value", 1), number(path + "late_worth", 0),
                    scope(text(path + "group", "all")), seconds(path + "repeat_window"),
                    i < bounds.length && !bounds[i].isEmpty() ? parse("domain.max_age", bounds[i]) / NANOS : 0));
        }
        return groups;
    }

    private Effect effect(String word) throws BadInput {
        return switch (word) {
            case "idempotent" -> Effect.REPLAYABLE;
            case "deduplicated" -> Effect.KEYED;
            case "at_most_once" -> Effect.MUTATING;
            default -> throw line.bad("has an unknown effect '" + word + "'");
        };
    }

    private Scope scope(String word) throws BadInput {
        return switch (word) {
            case "all" -> Scope.ALL;
            case "zone" -> Scope.ZONE;
            case "cell" -> Scope.GROUP;
            default -> throw line.bad("has an unknown group of repeats '" + word + "'");
        };
    }

    private ReadLevel level(String word) throws BadInput {
        return switch (word) {
            case "write" -> ReadLevel.WRITE;
            case "fresh" -> ReadLevel.FRESH;
            case "session" -> ReadLevel.SESSION;
            case "bounded" -> ReadLevel.BOUNDED;
            case "any", "", "-" -> ReadLevel.ANY;
            default -> throw line.bad("has an unknown read level '" + word + "'");
        };
    }

    private String text(String key, String absent) {
        return values.getOrDefault(key, absent);
    }

    private boolean flag(String key, boolean absent) {
        String value = values.get(key);
        return value == null ? absent : value.equals("true") || value.equals("1");
    }

    private double seconds(String key) throws BadInput {
        return number(key, 0) / NANOS;
    }

    private double number(String key, double absent) throws BadInput {
        String value = values.get(key);
        return value == null ? absent : parse(key, value);
    }

    private double parse(String key, String value) throws BadInput {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw line.bad("has '" + value + "' for " + key + ", not a number");
        }
    }
}
