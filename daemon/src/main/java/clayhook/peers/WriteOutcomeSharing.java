package clayhook.peers;

import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.types.WriteOutcome;
import clayhook.fleet.types.WriteOutcomes;
import clayhook.log.Log;
import java.util.Map;

/**
 * Publishes the outcomes of in-doubt writes, and logs conflicting outcomes of two routers. Confined to the gossip
 * thread.
 */
final class WriteOutcomeSharing {
    private final MembershipView membership;
    private final InDoubtWrites inDoubtWrites;
    private final WriteOutcomes writeOutcomes;

    WriteOutcomeSharing(ReplicatedStore store, MembershipView membership, ReplicatedType<WriteOutcome> type) {
        this.membership = membership;
        inDoubtWrites = new InDoubtWrites(store, type);
        writeOutcomes = new WriteOutcomes(store, type);
    }

    /**
     * Records the outcome of a write.
     *
     * @throws IllegalArgumentException if a time or the replica set cannot be published
     */
    void record(LocalEvent.WriteFinished event, double now) {
        inDoubtWrites.recordOutcome(WriteOutcome.key(event.writeKey()), toOutcome(event), now);
    }

    private WriteOutcome toOutcome(LocalEvent.WriteFinished event) {
        var sent = WriteOutcome.SentWrite.of(event.sentAt(), event.replicaSet(), event.requestClass(), null);
        if (!event.executed()) {
            return WriteOutcome.unknown(sent);
        }
        String router = membership.self().member().name();
        return WriteOutcome.ran(sent, WriteOutcome.OutcomeObservation.of(event.finishedAt(), router, event.nodeId()));
    }

    void tick(double now) {
        inDoubtWrites.publishResolved(now);
        writeOutcomes.takeNewConflicts().forEach(WriteOutcomeSharing::logConflict);
    }

    private static void logConflict(WriteOutcomes.WriteOutcomeEntry conflict) {
        Log.warn(
                "sharing conflict",
                "sharing: write " + conflict.key() + " was executed according to "
                        + conflict.outcome().ran().source().router() + ", and was not according to "
                        + conflict.outcome().notRun().source().router());
    }

    /** The number of known outcomes by status. */
    Map<WriteOutcome.OutcomeStatus, Integer> counts() {
        return writeOutcomes.counts();
    }
}
