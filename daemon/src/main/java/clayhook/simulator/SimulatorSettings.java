package clayhook.simulator;

import clayhook.RoutingSettings;
import clayhook.config.ConfigurationException;
import clayhook.config.SettingsReader;
import java.util.HashMap;
import java.util.Map;

/** The settings of a CONFIGURE line. Immutable. */
final class SimulatorSettings {
    private final RoutingSettings settings;
    /** The simulator's clock time of log position 0. */
    private final long originNanos;

    SimulatorSettings(InputLine line) throws SimulatorProtocolException {
        try {
            var reader = new SettingsReader(parsePairs(line));
            settings = reader.readSettings();
            originNanos = reader.originTimeNanos();
        } catch (ConfigurationException e) {
            throw line.error("has a bad setting, " + e.getMessage());
        }
    }

    private static Map<String, String> parsePairs(InputLine line) throws SimulatorProtocolException {
        Map<String, String> values = new HashMap<>();
        for (String pair : line.remainder().split(" ", -1)) {
            int sign = pair.indexOf('=');
            if (sign > 0) {
                values.put(pair.substring(0, sign), pair.substring(sign + 1));
            } else if (!pair.isEmpty()) {
                throw line.error("has a setting '" + pair + "' without a value");
            }
        }
        return values;
    }

    long originNanos() {
        return originNanos;
    }

    RoutingSettings settings() {
        return settings;
    }
}
