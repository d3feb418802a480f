package clayhook.serve;

import clayhook.RequestClass;
import clayhook.config.OperatorConfiguration;
import clayhook.sql.SqlAdmission;
import clayhook.statements.SessionSettings;
import java.util.List;
import java.util.function.Supplier;

/**
 * The current admission of SQL statements, which a reload replaces; disabled where the operator's file does not enable
 * statements. Whether it is enabled is fixed at the start. Event loop only.
 */
final class SqlSupport {
    private final List<RequestClass> requestClasses;
    private final long seed;
    /** Null where only the two key-value forms of statement are served. */
    private SqlAdmission admission;

    /** {@code settings}: null to disable it. */
    SqlSupport(OperatorConfiguration.StatementSettings settings, List<RequestClass> requestClasses, long seed) {
        this.requestClasses = requestClasses;
        this.seed = seed;
        admission = settings == null ? null : new SqlAdmission(settings, requestClasses, seed);
    }

    boolean isEnabled() {
        return admission != null;
    }

    /** Only where it is enabled. */
    SqlAdmission admission() {
        return admission;
    }

    /** Makes the settings of a new client session; null where it is disabled. */
    Supplier<SessionSettings> sessionSettings() {
        return admission == null ? null : () -> admission.newSessionSettings();
    }

    void onTickStarted() {
        if (admission != null) {
            admission.beginTick();
        }
    }

    /** Applies reloaded settings; enabling or disabling takes a restart, so that null changes nothing. */
    void reload(OperatorConfiguration.StatementSettings settings) {
        if (admission != null && settings != null) {
            admission = new SqlAdmission(settings, requestClasses, seed);
        }
    }
}
