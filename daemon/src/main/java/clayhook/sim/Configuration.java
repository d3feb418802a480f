package clayhook.sim;

import clayhook.Settings;
import clayhook.config.BadConfig;
import clayhook.config.SettingsReader;
import java.util.HashMap;
import java.util.Map;

/** The settings of a CONFIGURE line. */
final class Configuration {
    private final Settings settings;
    /** The clock time from which positions are reckoned, in nanoseconds. */
    private final long origin;

    Configuration(Line line) throws BadInput {
        Map<String, String> values = new HashMap<>();
        for (String pair : line.rest().split(" ")) {
            int sign = pair.indexOf('=');
            if (sign > 0) {
                values.put(pair.substring(0, sign), pair.substring(sign + 1));
            } else if (!pair.isEmpty()) {
                throw line.bad("has a setting '" + pair + "' without a value");
            }
        }
        try {
            var reader = new SettingsReader(values);
            settings = reader.settings();
            origin = reader.origin();
        } catch (BadConfig e) {
            throw line.bad("has a bad setting, " + e.getMessage());
        }
    }

    long origin() {
        return origin;
    }

    Settings settings() {
        return settings;
    }
}
