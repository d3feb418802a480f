package clayhook.serve;

import clayhook.RequestClass;
import clayhook.config.OperatorConfiguration;
import clayhook.sql.SqlAdmission;
import clayhook.statements.SessionSettings;
import java.util.List;
import java.util.function.Supplier;

/**
 * Holds the current {@link SqlAdmission}, which a reload replaces. Disabled unless the operator's configuration enables
 * SQL statements; enabling or disabling needs a restart. Event loop only.
 */
final class ReloadableSqlAdmission {
    private final List<RequestClass> requestClasses;
    private final long seed;
    /** Null if SQL statements are disabled, so that only the two key-value statements are served. */
    private SqlAdmission admission;

    /**
     * Creates the admission.
     *
     * @param settings null to disable SQL statements
     */
    ReloadableSqlAdmission(
            OperatorConfiguration.StatementSettings settings, List<RequestClass> requestClasses, long seed) {
        this.requestClasses = requestClasses;
        this.seed = seed;
        admission = settings == null ? null : new SqlAdmission(settings, requestClasses, seed);
    }

    boolean isEnabled() {
        return admission != null;
    }

    /** The current admission; null if SQL statements are disabled. */
    SqlAdmission admission() {
        return admission;
    }

    /** A factory for the settings of new client sessions; null if SQL statements are disabled. */
    Supplier<SessionSettings> sessionSettings() {
        return admission == null ? null : () -> admission.newSessionSettings();
    }

    void onTickStarted() {
        if (admission != null) {
            admission.beginTick();
        }
    }

    /** Applies reloaded settings. Changes nothing if SQL statements are disabled in the old or the new settings. */
    void reload(OperatorConfiguration.StatementSettings settings) {
        if (admission != null && settings != null) {
            admission = new SqlAdmission(settings, requestClasses, seed);
        }
    }
}
