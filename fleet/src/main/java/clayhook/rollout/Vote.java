package clayhook.rollout;

import clayhook.fleet.Kind;
import clayhook.fleet.Member;
import clayhook.fleet.Reader;
import clayhook.fleet.Writer;

/**
 * What one router of the frozen roster has said to a rollout. It never takes a word back.
 *
 * @param stage up to which it wants to go; 0: it has read the candidate and could run it
 */
record Vote(int stage, double at) {
    /** One a router and rollout: two rollouts of the largest fleet, and room for the ones before. */
    static final Kind<Vote> KIND = new Kind<>() {
        @Override
        public int number() {
            return 12;
        }

        @Override
        public String name() {
            return "votes";
        }

        @Override
        public Vote join(Vote a, Vote b) {
            return new Vote(Math.max(a.stage, b.stage), Math.max(a.at, b.at));
        }

        @Override
        public double at(Vote vote) {
            return vote.at;
        }

        @Override
        public double keep() {
            return Round.KEEP;
        }

        @Override
        public int most() {
            return 4096;
        }

        @Override
        public boolean timed() {
            return false;
        }

        @Override
        public void write(Vote vote, Writer out) {
            out.whole(vote.stage).number(vote.at);
        }

        @Override
        public Vote read(Reader in) {
            return new Vote(in.small(Plan.MOST_STAGES + 2), in.number());
        }
    };

    static String key(String round, Member by) {
        return round + '/' + Long.toString(by.boot(), Character.MAX_RADIX) + '/' + by.name();
    }
}
