package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedType;

/**
 * The vote of one voter in one rollout. Votes only rise.
 *
 * @param stage the highest stage that the voter agrees to enter; 0 if it has read the candidate and can run it
 * @param retainedFrom from when the retention time is counted, in seconds since 1970
 */
record StageVote(int stage, double retainedFrom) {
    /** Room for two rollouts of the largest fleet and for earlier ones. */
    private static final int MAX_ENTRIES = 4096;

    /** Merge and encoding; the highest vote wins. */
    static final ReplicatedType<StageVote> TYPE = new Type();

    /** The key of a voter's vote in a rollout. */
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
