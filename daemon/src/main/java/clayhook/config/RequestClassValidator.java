package clayhook.config;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.Idempotency;
import java.util.List;

/** Checks that keys of the operator's file name request classes that fit their use. Immutable. */
final class RequestClassValidator {
    private final List<RequestClass> requestClasses;

    /** {@code requestClasses}: null where they are not known, as in tools; then any name is accepted. */
    RequestClassValidator(List<RequestClass> requestClasses) {
        this.requestClasses = requestClasses;
    }

    /**
     * Checks the request class that a key names.
     *
     * @param writes whether it is used for writes
     * @param hasOutcomeKey whether those writes carry a key by which their outcome is known
     * @throws ConfigurationException naming file, line and key where the class is unknown or does not fit
     */
    void validate(TomlSection section, String key, boolean writes, boolean hasOutcomeKey, String name)
            throws ConfigurationException {
        if (requestClasses == null) {
            return;
        }
        RequestClass requestClass = find(name);
        if (requestClass == null) {
            throw section.invalid(key, "there is no command group '" + name + "'");
        }
        String mismatch = mismatch(requestClass, writes, hasOutcomeKey);
        if (mismatch != null) {
            throw section.invalid(key, "command group '" + name + "' is " + mismatch);
        }
    }

    private RequestClass find(String name) {
        for (RequestClass requestClass : requestClasses) {
            if (requestClass.name().equals(name)) {
                return requestClass;
            }
        }
        return null;
    }

    /** How a request class does not fit its use, or null. */
    private static String mismatch(RequestClass requestClass, boolean writes, boolean hasOutcomeKey) {
        boolean keyed = requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        if (writes != (requestClass.consistency() == ConsistencyLevel.WRITE)) {
            return "for " + (writes ? "reads" : "writes");
        } else if (writes && hasOutcomeKey && !keyed) {
            return "not keyed, but the rule names a mark";
        } else if (writes && keyed && !hasOutcomeKey) {
            return "keyed, which needs a rule with a mark";
        } else if (writes && requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return "replayable, which no unknown write is";
        }
        return null;
    }
}
