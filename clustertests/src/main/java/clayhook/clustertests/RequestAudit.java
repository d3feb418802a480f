package clayhook.clustertests;

import clayhook.clustertests.RequestRecord.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that each request of a client gets one complete answer in time. If a connection is reset because of unread
 * bytes, or ends after a fatal refusal, the request was in transit: the router has not read it, and the client can send
 * it again. An orderly end without an answer cannot be distinguished from a request that was read and dropped, and
 * counts as lost.
 */
final class RequestAudit {
    private RequestAudit() {}

    /**
     * Describes all requests that were lost or answered late.
     *
     * @param records records of the requests; those of one connection in the order of its answers
     * @param stallSeconds how long routers were stalled meanwhile, if longer than the rules allow for
     */
    static List<String> violations(List<RequestRecord> records, double stallSeconds) {
        var violations = new ArrayList<String>();
        Map<Integer, Double> lastAnswerAt = new HashMap<>();
        for (RequestRecord each : records) {
            // The time that a request waits behind earlier ones of its connection does not count.
            double beganAt = Math.max(each.sentAt(), lastAnswerAt.getOrDefault(each.localPort(), each.sentAt()));
            lastAnswerAt.put(each.localPort(), each.finishedAt());
            if (isLost(each)) {
                violations.add("lost: " + each);
            } else if (each.isAnswered() && each.finishedAt() - beganAt > maxSeconds(each) + stallSeconds) {
                violations.add("late: " + each);
            }
        }
        return violations;
    }

    /**
     * Returns whether a request was lost. A connection that the platform may still open during a shutdown is owed an
     * answer, even if the router never accepts it.
     */
    private static boolean isLost(RequestRecord record) {
        boolean newcomer = record.client().equals(ShutdownClients.Kind.NEWCOMER.toString());
        return record.outcome() == Outcome.ENDED
                || record.outcome() == Outcome.SILENCE
                || (newcomer && record.outcome() == Outcome.RESET);
    }

    private static double maxSeconds(RequestRecord record) {
        return record.timeoutSeconds() + RecordingClient.LATE_ANSWER_SECONDS + HistoryRecorder.MACHINE_SECONDS;
    }
}
