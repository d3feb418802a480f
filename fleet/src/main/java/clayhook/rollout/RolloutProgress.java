package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;

/**
 * The replicated progress of a rollout. A progress with an end wins over one at any stage without an end.
 *
 * @param proposal the proposal of the rollout
 * @param stage the highest stage for which a majority has voted: 0 before the start, one more than the number of stages
 *     after completion
 * @param end the end of the rollout; null if it has not ended
 * @param retainedFrom start of the retention time, in seconds since 1970
 */
record RolloutProgress(Proposal proposal, int stage, RolloutEnd end, double retainedFrom) {
    /**
     * Retention time of a rollout's progress: 14 days. A router that is disconnected for longer may miss a halt. For a
     * rollout that has not ended, all routers renew the retention to the same start after half of this time.
     */
    static final double RETENTION_SECONDS = 14 * 86_400;

    private static final double RENEWAL_SECONDS = RETENTION_SECONDS / 2;
    /** Rollouts are rare, so their entries expire long before this bound is reached. */
    private static final int MAX_ENTRIES = 256;

    /** The replicated type of rollout progress. */
    static final ReplicatedType<RolloutProgress> TYPE = new Type();

    /**
     * The start of the retention of a rollout that has not ended. It is the same at all routers, so that only one
     * change is replicated.
     */
    static double renewedRetention(double proposedAt, double now) {
        return proposedAt + Math.max(0, Math.floor((now - proposedAt) / RENEWAL_SECONDS)) * RENEWAL_SECONDS;
    }

    /** The same progress with an end. */
    RolloutProgress withEnd(RolloutEnd newEnd) {
        return new RolloutProgress(proposal, stage, newEnd, retainedFrom);
    }

    /** The same progress at another stage. */
    RolloutProgress withStage(int newStage) {
        return new RolloutProgress(proposal, newStage, end, retainedFrom);
    }

    /** The same progress with another start of the retention time. */
    RolloutProgress withRetainedFrom(double newRetainedFrom) {
        return new RolloutProgress(proposal, stage, end, newRetainedFrom);
    }

    private static final class Type implements ReplicatedType<RolloutProgress> {
        @Override
        public int typeNumber() {
            return 10;
        }

        @Override
        public String name() {
            return "rollouts";
        }

        @Override
        public RolloutProgress merge(RolloutProgress a, RolloutProgress b) {
            Proposal proposal = a.proposal.compareTo(b.proposal) <= 0 ? a.proposal : b.proposal;
            return new RolloutProgress(
                    proposal,
                    Math.max(a.stage, b.stage),
                    RolloutEnd.merge(a.end, b.end),
                    Math.max(a.retainedFrom, b.retainedFrom));
        }

        @Override
        public double timestamp(RolloutProgress progress) {
            return progress.retainedFrom;
        }

        @Override
        public double retentionSeconds() {
            return RETENTION_SECONDS;
        }

        @Override
        public int maxEntries() {
            return MAX_ENTRIES;
        }

        @Override
        public boolean urgent() {
            return true;
        }

        /** False, so that a halt is accepted even from a router whose clock is wrong. */
        @Override
        public boolean clockDependent() {
            return false;
        }

        @Override
        public void write(RolloutProgress progress, FieldWriter out) {
            progress.proposal.write(out);
            out.writeLong(progress.stage).writeDouble(progress.retainedFrom).writeBoolean(progress.end != null);
            if (progress.end != null) {
                progress.end.write(out);
            }
        }

        @Override
        public RolloutProgress read(FieldReader in) {
            Proposal proposal = Proposal.read(in);
            int stage = in.readIntBelow(RolloutPlan.MAX_STAGES + 2);
            double retainedFrom = in.readDouble();
            return new RolloutProgress(proposal, stage, in.readBoolean() ? RolloutEnd.read(in) : null, retainedFrom);
        }
    }
}
