package clayhook.clustertests;

import clayhook.clustertests.RequestRecord.Outcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges what clients saw of their requests: each gets one whole answer in time. A connection that is reset over unread
 * bytes, or that ends behind a fatal refusal, crossed the request: the router has not read it, and the client sends it
 * again. An orderly end with no answer cannot be told from a request that was read and dropped, and counts as lost.
 */
final class RequestAudit {
    private RequestAudit() {}

    /**
     * All lost requests, in words. The records of a connection are in the order of its answers.
     *
     * @param stallSeconds how long routers were held up meanwhile, beyond what the rules allow for
     */
    static List<String> violations(List<RequestRecord> records, double stallSeconds) {
        var violations = new ArrayList<String>();
        Map<Integer, Double> lastAnswerAt = new HashMap<>();
        for (RequestRecord each : records) {
            // The time spent behind earlier requests of the connection does not count.
            double begunAt = Math.max(each.sentAt(), lastAnswerAt.getOrDefault(each.localPort(), each.sentAt()));
            lastAnswerAt.put(each.localPort(), each.finishedAt());
            if (isLost(each)) {
                violations.add("lost: " + each);
            } else if (each.isAnswered() && each.finishedAt() - begunAt > latest(each) + stallSeconds) {
                violations.add("late: " + each);
            }
        }
        return violations;
    }

    /** A new connection that the platform may still open is owed an answer, also if it is never accepted. */
    private static boolean isLost(RequestRecord record) {
        boolean newcomer = record.client().equals(ShutdownClients.Kind.NEWCOMER.toString());
        return record.outcome() == Outcome.ENDED
                || record.outcome() == Outcome.SILENCE
                || (newcomer && record.outcome() == Outcome.RESET);
    }

    private static double latest(RequestRecord record) {
        return record.timeoutSeconds() + RecordingClient.LATE_ANSWER_SECONDS + HistoryRecorder.MACHINE_SECONDS;
    }
}
