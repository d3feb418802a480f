package clayhook.rollout;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;

/**
 * How far a rollout has come, as far as is known here. An end wins over every stage.
 *
 * @param stage the last one that a majority has voted for: 0 none yet, 1 the first, one past the last when all is done
 * @param end null while it goes on
 * @param at when it was proposed, or made young again so that it is kept
 */
record Round(Proposal proposal, int stage, End end, double at) {
    /**
     * Seconds. Routers that go on with a rollout make what belongs to it young again at half of this, all to the same
     * time; so this is how long a halt is remembered, and how long a router may be away before it could miss one.
     */
    static final double KEEP = 14 * 86_400;

    /** Empties itself as rollouts get old; rollouts are rare, so the bound is far away. */
    static final ReplicatedType<Round> KIND = new ReplicatedType<>() {
        @Override
        public int typeNumber() {
            return 10;
        }

        @Override
        public String name() {
            return "rollouts";
        }

        @Override
        public Round merge(Round a, Round b) {
            Proposal proposal = a.proposal.compareTo(b.proposal) <= 0 ? a.proposal : b.proposal;
            return new Round(proposal, Math.max(a.stage, b.stage), End.join(a.end, b.end), Math.max(a.at, b.at));
        }

        @Override
        public double timestamp(Round round) {
            return round.at;
        }

        @Override
        public double retentionSeconds() {
            return KEEP;
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
        public void write(Round round, FieldWriter out) {
            round.proposal.write(out);
            out.writeLong(round.stage).writeDouble(round.at).writeBoolean(round.end != null);
            if (round.end != null) {
                round.end.write(out);
            }
        }

        @Override
        public Round read(FieldReader in) {
            Proposal proposal = Proposal.read(in);
            int stage = in.readIntBelow(Plan.MOST_STAGES + 2);
            double at = in.readDouble();
            return new Round(proposal, stage, in.readBoolean() ? End.read(in) : null, at);
        }
    };

    /** The time to which everyone makes it young again now: the same for all, so that it is one piece of news. */
    static double young(double begun, double now) {
        return begun + Math.max(0, Math.floor((now - begun) / (KEEP / 2))) * (KEEP / 2);
    }

    Round ended(End by) {
        return new Round(proposal, stage, by, at);
    }

    Round reached(int further) {
        return new Round(proposal, further, end, at);
    }

    Round at(double when) {
        return new Round(proposal, stage, end, when);
    }
}
