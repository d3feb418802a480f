package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;

/**
 * How far a rollout has come, as far as is known here. An end wins over every stage.
 *
 * @param proposal what was proposed
 * @param stage the highest stage that a majority has voted for: 0 before the start, one past the last when it is
 *     completed
 * @param end null while the rollout goes on
 * @param retainedFrom from when the retention time is counted, in seconds since 1970
 */
record RolloutProgress(Proposal proposal, int stage, RolloutEnd end, double retainedFrom) {
    /**
     * How long a halt is remembered, and how long a router may be away before it could miss one: 14 days. Routers renew
     * the retention of a rollout that goes on after half of this, all to the same time.
     */
    static final double RETENTION_SECONDS = 14 * 86_400;

    private static final double RENEWAL_SECONDS = RETENTION_SECONDS / 2;
    /** Rollouts are rare, so that their retention ends long before the bound is reached. */
    private static final int MAX_ENTRIES = 256;

    /** Merge and encoding. */
    static final ReplicatedType<RolloutProgress> TYPE = new Type();

    /**
     * The retention start of a rollout that goes on: the same at all routers, so that only one change is replicated.
     */
    static double renewedRetention(double proposedAt, double now) {
        return proposedAt + Math.max(0, Math.floor((now - proposedAt) / RENEWAL_SECONDS)) * RENEWAL_SECONDS;
    }

    /** The same rollout, ended. */
    RolloutProgress withEnd(RolloutEnd newEnd) {
        return new RolloutProgress(proposal, stage, newEnd, retainedFrom);
    }

    /** The same rollout at another stage. */
    RolloutProgress withStage(int newStage) {
        return new RolloutProgress(proposal, newStage, end, retainedFrom);
    }

    /** The same rollout with another start of its retention. */
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

        /** A halt counts whatever the clock of the router that reports it. */
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
