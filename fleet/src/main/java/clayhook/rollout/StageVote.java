package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedType;

/**
 * What one router of the frozen roster has said to a rollout. It never takes a word back.
 *
 * @param stage up to which it wants to go; 0: it has read the candidate and could run it
 */
record StageVote(int stage, double retainedFrom) {
    /** One a router and rollout: two rollouts of the largest fleet, and room for the ones before. */
    static final ReplicatedType<StageVote> TYPE = new ReplicatedType<>() {
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
            return 4096;
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
    };

    static String key(String round, Member by) {
        return round + '/' + Long.toString(by.incarnation(), Character.MAX_RADIX) + '/' + by.name();
    }
}
