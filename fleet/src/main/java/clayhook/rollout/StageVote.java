package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedType;

/**
 * The replicated vote of one voter in one rollout. The stage of a vote never decreases.
 *
 * @param stage the highest stage that the voter agrees to enter; 0 if it has only confirmed that it can run the
 *     candidate
 * @param retainedFrom start of the retention time, in seconds since 1970
 */
record StageVote(int stage, double retainedFrom) {
    /** Enough for two rollouts of the largest fleet and for earlier rollouts. */
    private static final int MAX_ENTRIES = 4096;

    /** The replicated type of votes. The merge keeps the highest stage. */
    static final ReplicatedType<StageVote> TYPE = new Type();

    /** The key under which a voter's vote in a rollout is replicated. */
    static String key(String rolloutId, Member voter) {
        return rolloutId + '/' + Long.toString(voter.incarnation(), Character.MAX_RADIX) + '/' + voter.name();
    }

    private static final class Type implements ReplicatedType<StageVote> {
        @Override
        public int typeNumber() {
            return 12;
        }

        @Override
        public String name() {
            return "votes";
        }

        @Override
        public StageVote merge(StageVote a, StageVote b) {
            return new StageVote(Math.max(a.stage, b.stage), Math.max(a.retainedFrom, b.retainedFrom));
        }

        @Override
        public double timestamp(StageVote vote) {
            return vote.retainedFrom;
        }

        @Override
        public double retentionSeconds() {
            return RolloutProgress.RETENTION_SECONDS;
        }

        @Override
        public int maxEntries() {
            return MAX_ENTRIES;
        }

        @Override
        public boolean clockDependent() {
            return false;
        }

        @Override
        public void write(StageVote vote, FieldWriter out) {
            out.writeLong(vote.stage).writeDouble(vote.retainedFrom);
        }

        @Override
        public StageVote read(FieldReader in) {
            return new StageVote(in.readIntBelow(RolloutPlan.MAX_STAGES + 2), in.readDouble());
        }
    }
}
