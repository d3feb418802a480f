package clayhook.rollout;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.Member;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;

/**
 * What one router of the frozen roster has said to a rollout. It never takes a word back.
 *
 * @param stage up to which it wants to go; 0: it has read the candidate and could run it
 */
record Vote(int stage, double at) {
    /** One a router and rollout: two rollouts of the largest fleet, and room for the ones before. */
    static final ReplicatedType<Vote> KIND = new ReplicatedType<>() {
        @Override
        public int typeNumber() {
            return 12;
        }

        @Override
        public String name() {
            return "votes";
        }

        @Override
        public Vote merge(Vote a, Vote b) {
            return new Vote(Math.max(a.stage, b.stage), Math.max(a.at, b.at));
        }

        @Override
        public double timestamp(Vote vote) {
            return vote.at;
        }

        @Override
        public double retentionSeconds() {
            return Round.KEEP;
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
        public void write(Vote vote, FieldWriter out) {
            out.writeLong(vote.stage).writeDouble(vote.at);
        }

        @Override
        public Vote read(FieldReader in) {
            return new Vote(in.readIntBelow(Plan.MOST_STAGES + 2), in.readDouble());
        }
    };

    static String key(String round, Member by) {
        return round + '/' + Long.toString(by.incarnation(), Character.MAX_RADIX) + '/' + by.name();
    }
}
