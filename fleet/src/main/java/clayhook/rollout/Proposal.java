package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Comparator;

/**
 * A router's proposal of a rollout to the fleet. Immutable; the rules and terms that it identifies by hash are
 * replicated separately as {@link TextChunk}s. Proposals have a total order: of several open ones the smallest wins at
 * all routers.
 *
 * @param proposer the router that made the proposal
 * @param proposedAt time of the proposal, in seconds since 1970 on the proposer's clock
 * @param baseRulesHash hash of the rules that the fleet used at the time of the proposal
 * @param rulesHash hash of the candidate
 * @param rulesLength length of the candidate's text in UTF-8 bytes
 * @param termsHash hash of the encoded {@link RolloutTerms}
 * @param termsLength length of the encoded terms in bytes
 * @param leaseSeconds seconds for which a router may run the candidate after a majority has granted it a lease
 * @param attempt number of the attempt to roll out this candidate, from 1
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
    /** Orders by time of proposal, then by the candidate's hash; the other fields make the order total. */
    private static final Comparator<Proposal> ORDER = Comparator.comparingDouble(Proposal::proposedAt)
            .thenComparing(Proposal::rulesHash)
            .thenComparing(Proposal::proposer)
            .thenComparing(Proposal::termsHash)
            .thenComparing(Proposal::baseRulesHash)
            .thenComparingInt(Proposal::attempt)
            .thenComparingDouble(Proposal::leaseSeconds)
            .thenComparingInt(Proposal::rulesLength)
            .thenComparingInt(Proposal::termsLength);
    /** Upper bound of {@link #leaseSeconds()}. */
    static final double MAX_LEASE_SECONDS = 300;

    /** The id of the rollout: the key of its replicated progress and part of the keys of its votes and counters. */
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

    /** Encodes the proposal as one list. */
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

    /**
     * Decodes the list that {@link #write} encodes; throws IllegalArgumentException for malformed or invalid fields.
     */
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
            throw new IllegalArgumentException("lease out of range: " + proposal.leaseSeconds + " s");
        }
        return proposal;
    }
}
