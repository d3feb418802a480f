package clayhook.inflight;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.Node;
import clayhook.Request;
import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how long the id of a request that was abandoned by its client is kept. */
class AbandonedRequestIdsTest {
    private static final double NOW = 1000;
    private static final double TIMEOUT_AT = 1003;
    private final AbandonedRequestIds ids = new AbandonedRequestIds();

    private static Request request(Idempotency idempotency) {
        var requestClass = new RequestClass(
                "post", idempotency, ConsistencyLevel.WRITE, 0.5, 2, 1, 0.5, DeduplicationScope.REPLICA_SET, 5, 0);
        return new Request(requestClass, 1, null, 0, NOW, NOW + 5);
    }

    private static Request request(Idempotency idempotency, AttemptOutcome outcome) {
        Request request = request(idempotency);
        var attempt = new Attempt(request, new Node("p", "a", 1), false, NOW, TIMEOUT_AT);
        attempt.outcome = outcome;
        request.attempts.add(attempt);
        return request;
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT, , 3",
        "IDEMPOTENT, TIMED_OUT, 0",
        "IDEMPOTENT_WITH_KEY, , 60",
        "NON_IDEMPOTENT, , 60",
        "NON_IDEMPOTENT, TIMED_OUT, 60",
        "NON_IDEMPOTENT, NOT_SENT, 0",
        "NON_IDEMPOTENT, OVERLOADED, 0"
    })
    void keepsIdWhileASecondExecutionWouldBreakARule(Idempotency idempotency, AttemptOutcome outcome, double seconds) {
        ids.add("1", request(idempotency, outcome), NOW);
        assertEquals(seconds > 0, ids.contains("1", NOW));
        assertEquals(seconds > 0, ids.contains("1", NOW + seconds - 0.1));
        assertFalse(ids.contains("1", NOW + seconds));
    }

    @Test
    void doesNotKeepIdOfRequestWithoutAttempts() {
        ids.add("1", request(Idempotency.NON_IDEMPOTENT), NOW);
        assertEquals(0, ids.size());
    }

    /** Guards against memory that grows as clients leave under ever new ids. */
    @Test
    void dropsTheOldestIdsBeyondItsBoundAndExpiredOnes() {
        Request request = request(Idempotency.NON_IDEMPOTENT, null);
        for (int i = 0; i <= AbandonedRequestIds.MAX_IDS; i++) {
            ids.add("id" + i, request, NOW);
        }
        assertEquals(AbandonedRequestIds.MAX_IDS, ids.size());
        assertFalse(ids.contains("id0", NOW));
        assertTrue(ids.contains("id1", NOW));
        ids.add("late", request, NOW + AbandonedRequestIds.RETENTION_SECONDS);
        assertEquals(1, ids.size());
    }
}
