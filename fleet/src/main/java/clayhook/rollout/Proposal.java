package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;

/**
 * What a router asks the others for. It never changes; its text and terms are spread beside it, in pieces.
 *
 * @param by the router that proposes
 * @param begun when, seconds since 1970 on its clock
 * @param base hash of the rules that the fleet stands on
 * @param rules hash of the candidate
 * @param rulesBytes of its text in UTF-8
 * @param terms hash of the plan and the roster as frozen then
 * @param lease seconds for which the candidate may run after contact with a majority
 * @param attempt of this candidate, counted from 1
 */
record Proposal(
        Member proposer,
        double proposedAt,
        String baseRulesHash,
        String rulesHash,
        int rulesLength,
        String termsHash,
        int termsLength,
        double leaseSeconds,
        int attempt)
        implements Comparable<Proposal> {
    /** Of two begun at two ends the earlier one wins everywhere, of two begun at once the one with the smaller hash. */
    private static final Comparator<Proposal> ORDER = Comparator.comparingDouble(Proposal::proposedAt)
            .thenComparing(Proposal::rulesHash)
            .thenComparing(Proposal::proposer)
            .thenComparing(Proposal::termsHash)
            .thenComparing(Proposal::baseRulesHash)
            .thenComparingInt(Proposal::attempt)
            .thenComparingDouble(Proposal::leaseSeconds)
            .thenComparingInt(Proposal::rulesLength)
            .thenComparingInt(Proposal::termsLength);
    /** Seconds that a lease may have at most. */
    static final double MAX_LEASE_SECONDS = 300;

    /** The key under which routers share whatever belongs to this rollout. */
    String id() {
        var text = proposer.name()
                + '\n'
                + proposer.incarnation()
                + '\n'
                + proposedAt
                + '\n'
                + rulesHash
                + '\n'
                + termsHash
                + '\n'
                + baseRulesHash
                + '\n'
                + attempt;
        return String.format("%016x", Hashing.komihash5_0().hashCharsToLong(text));
    }

    @Override
    public int compareTo(Proposal other) {
        return ORDER.compare(this, other);
    }

    void write(FieldWriter out) {
        out.beginList()
                .writeNullableString(proposer.name())
                .writeLong(proposer.incarnation())
                .writeDouble(proposedAt)
                .writeNullableString(baseRulesHash)
                .writeNullableString(rulesHash)
                .writeLong(rulesLength)
                .writeNullableString(termsHash)
                .writeLong(termsLength)
                .writeDouble(leaseSeconds)
                .writeLong(attempt)
                .endList();
    }

    static Proposal read(FieldReader in) {
        in.beginList();
        var proposal = new Proposal(
                new Member(in.readNonEmptyString(), in.readLong()),
                in.readDouble(),
                in.readNonEmptyString(),
                in.readNonEmptyString(),
                in.readIntBelow(RuleSet.MAX_BYTES + 1),
                in.readNonEmptyString(),
                in.readIntBelow(RolloutTerms.MAX_BYTES + 1),
                in.readDouble(),
                in.readIntBelow(Integer.MAX_VALUE));
        in.endList();
        if (!(proposal.leaseSeconds > 0 && proposal.leaseSeconds <= MAX_LEASE_SECONDS)) {
            throw new IllegalArgumentException("a lease of " + proposal.leaseSeconds + " s");
        }
        return proposal;
    }
}
