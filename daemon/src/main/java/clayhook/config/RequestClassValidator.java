package clayhook.config;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.Idempotency;
import java.util.List;

/** Checks that each request class named in the operator's file exists and is suitable for its use. Immutable. */
final class RequestClassValidator {
    private final List<RequestClass> requestClasses;

    /**
     * Creates a validator.
     *
     * @param requestClasses the configured request classes; null if they are unknown, as in tools that read only the
     *     operator's file, so that any name is accepted
     */
    RequestClassValidator(List<RequestClass> requestClasses) {
        this.requestClasses = requestClasses;
    }

    /**
     * Checks the request class that the value of a key names.
     *
     * @param writes whether the request class is used for writes
     * @param hasOutcomeKey whether those writes carry a key that identifies their outcome
     * @throws ConfigurationException if the request class is unknown or unsuitable; the message names file, line and
     *     key
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

    /** Returns the reason why a request class is unsuitable for its use, or null if it is suitable. */
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
