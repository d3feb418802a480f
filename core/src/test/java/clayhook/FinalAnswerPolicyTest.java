package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against final answers that deny an effect, or invite a repeat, although an attempt may have been executed. */
class FinalAnswerPolicyTest {
    private static Request request(Idempotency idempotency, DeduplicationScope scope) {
        var requestClass = new RequestClass("c", idempotency, ConsistencyLevel.WRITE, 1, 2, 1, 0, scope, 1, 0);
        return new Request(requestClass, 1, null, 0, 0, 2);
    }

    private static Attempt addAttempt(Request request, AttemptOutcome outcome) {
        var attempt = new Attempt(request, new Node("n", "a", 1), false, 0, 1);
        attempt.outcome = outcome;
        request.attempts.add(attempt);
        return attempt;
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT, REPLICA_SET, true, true",
        "IDEMPOTENT_WITH_KEY, ALL, false, true",
        "IDEMPOTENT_WITH_KEY, ZONE, false, false",
        "IDEMPOTENT_WITH_KEY, REPLICA_SET, false, false",
        "NON_IDEMPOTENT, ALL, false, false"
    })
    void errorBehindPossibleExecutionIsReportedOnlyIfRepeatIsHarmless(
            Idempotency idempotency, DeduplicationScope scope, boolean error, boolean refusal) {
        for (AttemptOutcome earlier : AttemptOutcome.values()) {
            Request request = request(idempotency, scope);
            addAttempt(request, earlier);
            Attempt last = addAttempt(request, AttemptOutcome.OVERLOADED);
            assertEquals(error || earlier.notExecuted, FinalAnswerPolicy.mayReportError(request, last, false));
            assertEquals(refusal || earlier.notExecuted, FinalAnswerPolicy.mayReportError(request, last, true));
            assertEquals(refusal || earlier.notExecuted, FinalAnswerPolicy.mayReject(request));
        }
    }

    @Test
    void attemptInFlightMayStillBeExecuted() {
        Request request = request(Idempotency.NON_IDEMPOTENT, DeduplicationScope.REPLICA_SET);
        addAttempt(request, null);
        Attempt last = addAttempt(request, AttemptOutcome.REJECTED);
        assertEquals(false, FinalAnswerPolicy.mayReportError(request, last, false));
        assertEquals(false, FinalAnswerPolicy.mayReject(request));
    }

    /** An error proves that its own attempt had no effect; a refusal by a node that may have executed it does not. */
    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void errorOfOnlyAttemptIsReportedAndRefusalOnlyIfItWasNotExecuted(AttemptOutcome outcome) {
        Request request = request(Idempotency.NON_IDEMPOTENT, DeduplicationScope.REPLICA_SET);
        Attempt only = addAttempt(request, outcome);
        assertEquals(true, FinalAnswerPolicy.mayReportError(request, only, false));
        assertEquals(outcome.notExecuted, FinalAnswerPolicy.mayReportError(request, only, true));
        only.outcome = null;
        assertEquals(true, FinalAnswerPolicy.mayReportError(request, only, true));
    }

    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void requestStartsAnewOnlyIfNoOtherAttemptMayHaveBeenExecuted(AttemptOutcome earlier) {
        Request read = request(Idempotency.IDEMPOTENT, DeduplicationScope.REPLICA_SET);
        addAttempt(read, earlier);
        Attempt refused = addAttempt(read, null);
        RequestClass write = request(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL).requestClass;
        assertEquals(earlier.notExecuted, FinalAnswerPolicy.mayStartAnew(read, refused, write));
        assertEquals(true, FinalAnswerPolicy.mayStartAnew(read, refused, read.requestClass));
    }
}
