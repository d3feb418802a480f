package clayhook.frontend;

import clayhook.statements.SessionSettings;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings whose values are reported to clients in ParameterStatus messages. Stateless. */
final class ReportedParameters {
    /** The reported settings that a client may set, in the spelling of PostgreSQL servers. */
    private static final List<String> SETTABLE = List.of("application_name", "DateStyle", "IntervalStyle", "TimeZone");

    private ReportedParameters() {}

    /**
     * The parameters that the response to a start-up message reports in addition to those of every session.
     *
     * @param settings the settings of the client; null if only key-value statements are accepted, in which case the
     *     result is empty
     * @param requested the parameters of the start-up message, in the order in which the client sent them
     */
    static Map<String, String> atStartup(SessionSettings settings, Map<String, String> requested) {
        Map<String, String> reported = new LinkedHashMap<>();
        if (settings == null) {
            return reported;
        }
        reported.put("server_encoding", "UTF8");
        reported.put("integer_datetimes", "on");
        reported.put("session_authorization", settings.client().user());
        requested.forEach((name, value) -> {
            if (SETTABLE.contains(name)) {
                reported.put(name, value);
            }
        });
        return reported;
    }

    /** The spelling in which a setting is reported; null if it is not reported. {@code setting} may be null. */
    static String reportedName(String setting) {
        return SETTABLE.stream()
                .filter(name -> name.equalsIgnoreCase(setting))
                .findFirst()
                .orElse(null);
    }
}
