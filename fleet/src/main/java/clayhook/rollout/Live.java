package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A rollout as this router knows it. */
final class Live {
    final String id;
    final Proposal proposal;
    /** When it was first heard of here. */
    final double seen;

    Round round;
    /** Null until its pieces are here. */
    Terms terms;

    RuleSet rules;
    /** Why this router cannot run the candidate; null while it can, or has not read it. */
    String fault;
    /** When the stage was first known here. */
    double stageSince;

    Lease lease;
    Tally tally;
    /** The versions of this stage here, null until the candidate runs. */
    Version old;

    Version candidate;
    Map<String, Double> limits;
    double nextAsk = Double.NEGATIVE_INFINITY;
    double nextLook = Double.NEGATIVE_INFINITY;
    boolean runs;
    boolean blind;
    /** Routers of the roster whose figures were fresh at the last look. */
    int heard;

    int dead;
    String waits = "";
    /** What operators were told already, so that each is told once. */
    final Set<String> told = new HashSet<>();

    Live(String id, Round round, double now) {
        this.id = id;
        this.proposal = round.proposal();
        this.round = round;
        this.seen = now;
        this.stageSince = now;
    }

    boolean ended() {
        return round.end() != null;
    }

    int stage() {
        return round.stage();
    }

    /** All sessions have the candidate. */
    boolean done() {
        return !ended() && terms != null && stage() > terms.plan().stages().size();
    }

    /** Its time to begin is over; a proposal from a router that was away, or whose clock is behind, never begins. */
    boolean stale(double now, double patience) {
        return stage() == 0 && now - Math.min(seen, proposal.begun()) > patience;
    }

    boolean read() {
        return terms != null && rules != null;
    }

    boolean votes(Member member) {
        return terms != null && terms.roster().contains(member);
    }

    /** Gathers what the proposal names from its pieces; true when the last of it came. */
    boolean gather(ReplicatedStore shared) {
        if (read()) {
            return false;
        }
        if (terms == null) {
            byte[] bytes = Piece.whole(shared, proposal.terms(), proposal.termsBytes());
            terms = bytes == null ? null : Terms.of(bytes);
        }
        if (rules == null) {
            byte[] bytes = Piece.whole(shared, proposal.rules(), proposal.rulesBytes());
            rules = bytes == null ? null : RuleSet.of(new String(bytes, StandardCharsets.UTF_8));
        }
        return read();
    }

    /** Routers of the frozen roster that have voted for that stage. */
    int votes(ReplicatedStore shared, int stage) {
        int votes = 0;
        for (Member member : terms.roster()) {
            Vote vote = shared.get(Vote.KIND, Vote.key(id, member));
            votes += vote != null && vote.stage() >= stage ? 1 : 0;
        }
        return votes;
    }

    /** A member that lives and has not said that it can run the candidate; null for none. */
    Member unread(ReplicatedStore shared, MembershipView roster) {
        for (Member member : terms.roster()) {
            if ((member.equals(roster.self().member()) || roster.isLive(member))
                    && shared.get(Vote.KIND, Vote.key(id, member)) == null) {
                return member;
            }
        }
        return null;
    }

    /** For the log. */
    String name() {
        return proposal.rules().substring(0, 8) + " of " + proposal.by().name();
    }
}
