package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;

/**
 * What a router proposes to the fleet. It never changes; the texts that it names by hash are replicated beside it as
 * {@link TextChunk}s. Proposals are ordered: of several that are open at once the smallest wins everywhere.
 *
 * @param proposer the router that proposes
 * @param proposedAt when, in seconds since 1970 on the proposer's clock
 * @param baseRulesHash hash of the fleet's current rules
 * @param rulesHash hash of the candidate
 * @param rulesLength bytes of the candidate's text in UTF-8
 * @param termsHash hash of the encoded {@link RolloutTerms}
 * @param termsLength bytes of the encoded terms
 * @param leaseSeconds how long the candidate may run after contact with a majority
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
    /** The earlier proposal first, of simultaneous ones that with the smaller hash; the rest makes the order total. */
    private static final Comparator<Proposal> ORDER = Comparator.comparingDouble(Proposal::proposedAt)
            .thenComparing(Proposal::rulesHash)
            .thenComparing(Proposal::proposer)
            .thenComparing(Proposal::termsHash)
            .thenComparing(Proposal::baseRulesHash)
            .thenComparingInt(Proposal::attempt)
            .thenComparingDouble(Proposal::leaseSeconds)
            .thenComparingInt(Proposal::rulesLength)
            .thenComparingInt(Proposal::termsLength);
    /** The longest lease. */
    static final double MAX_LEASE_SECONDS = 300;

    /** Identifies the rollout; the key of its progress and part of the keys of its votes and counters. */
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

    /** Encodes the proposal as a list of its own. */
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

    /** Decodes what {@link #write} encoded; throws IllegalArgumentException for malformed or invalid fields. */
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
