package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;

/**
 * How far a rollout has come, as far as is known here. An end wins over every stage.
 *
 * @param stage the last one that a majority has voted for: 0 none yet, 1 the first, one past the last when all is done
 * @param end null while it goes on
 * @param at when it was proposed, or made young again so that it is kept
 */
record RolloutProgress(Proposal proposal, int stage, RolloutEnd end, double retainedFrom) {
    /**
     * Seconds. Routers that go on with a rollout make what belongs to it young again at half of this, all to the same
     * time; so this is how long a halt is remembered, and how long a router may be away before it could miss one.
     */
    static final double RETENTION_SECONDS = 14 * 86_400;

    /** Empties itself as rollouts get old; rollouts are rare, so the bound is far away. */
    static final ReplicatedType<RolloutProgress> TYPE = new ReplicatedType<>() {
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
        public double timestamp(RolloutProgress round) {
            return round.retainedFrom;
        }

        @Override
        public double retentionSeconds() {
            return RETENTION_SECONDS;
        }

        @Override
        public int maxEntries() {
            return 256;
        }

        @Override
        public boolean urgent() {
            return true;
        }

        /** A halt counts whatever the clock of whoever says so. */
        @Override
        public boolean clockDependent() {
            return false;
        }

        @Override
        public void write(RolloutProgress round, FieldWriter out) {
            round.proposal.write(out);
            out.writeLong(round.stage).writeDouble(round.retainedFrom).writeBoolean(round.end != null);
            if (round.end != null) {
                round.end.write(out);
            }
        }

        @Override
        public RolloutProgress read(FieldReader in) {
            Proposal proposal = Proposal.read(in);
            int stage = in.readIntBelow(RolloutPlan.MAX_STAGES + 2);
            double at = in.readDouble();
            return new RolloutProgress(proposal, stage, in.readBoolean() ? RolloutEnd.read(in) : null, at);
        }
    };

    /** The time to which everyone makes it young again now: the same for all, so that it is one piece of news. */
    static double renewedRetention(double begun, double now) {
        return begun + Math.max(0, Math.floor((now - begun) / (RETENTION_SECONDS / 2))) * (RETENTION_SECONDS / 2);
    }

    RolloutProgress withEnd(RolloutEnd by) {
        return new RolloutProgress(proposal, stage, by, retainedFrom);
    }

    RolloutProgress withStage(int further) {
        return new RolloutProgress(proposal, further, end, retainedFrom);
    }

    RolloutProgress at(double when) {
        return new RolloutProgress(proposal, stage, end, when);
    }
}
