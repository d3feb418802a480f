package clayhook.frontend;

import clayhook.statements.SessionSettings;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings whose values a server reports to its client in ParameterStatus messages. Stateless. */
final class ReportedParameters {
    /** Settings that a client may make, spelled as servers report them. */
    private static final List<String> SETTABLE = List.of("application_name", "DateStyle", "IntervalStyle", "TimeZone");

    private ReportedParameters() {}

    /**
     * What is reported in response to a start-up message, beyond what every session reports.
     *
     * @param settings null where only the two fixed forms of statement are accepted: nothing is reported then
     * @param requested the parameters of the start-up message, in the order of the client
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

    /** The spelling in which a changed setting is reported; null if it is not reported. {@code setting} may be null. */
    static String reportedName(String setting) {
        return SETTABLE.stream()
                .filter(name -> name.equalsIgnoreCase(setting))
                .findFirst()
                .orElse(null);
    }
}
