package clayhook.rollout;

/**
 * The split of sessions between the baseline and the candidate at this router. Immutable and thread-safe; reading it
 * allocates nothing. A session gets the same variant at every router that runs the same stage, and keeps the candidate
 * as the share grows.
 */
public final class TrafficSplit {
    /** Number of values of the used bits of a hash, which is the resolution of shares. */
    private static final long HASH_STEPS = 1L << 53;

    private static final int UNUSED_HASH_BITS = Long.SIZE - 53;
    /** Number of hexadecimal digits of the candidate's hash that form the 64-bit salt. */
    private static final int SALT_DIGITS = 16;

    private static final int HEXADECIMAL = 16;

    private final RuleSetVersion currentVersion;
    private final RuleSetVersion baseline;
    private final RuleSetVersion candidate;
    private final double share;
    private final long candidateThreshold;
    private final long salt;
    private final double validUntil;

    private TrafficSplit(
            RuleSetVersion currentVersion,
            RuleSetVersion baseline,
            RuleSetVersion candidate,
            double share,
            long salt,
            double validUntil) {
        this.currentVersion = currentVersion;
        this.baseline = baseline;
        this.candidate = candidate;
        this.share = share;
        this.candidateThreshold = (long) (share * HASH_STEPS);
        this.salt = salt;
        this.validUntil = validUntil;
    }

    /** Creates a split in which all sessions get the current version. */
    static TrafficSplit unsplit(RuleSetVersion currentVersion) {
        return new TrafficSplit(currentVersion, null, null, 0, 0, Double.NEGATIVE_INFINITY);
    }

    /**
     * Creates a split of sessions between baseline and candidate.
     *
     * @param currentVersion version for all sessions from {@code validUntil} on, even if this split is not replaced
     * @param share share of sessions that get the candidate
     * @param validUntil end of the lease, in seconds since 1970
     */
    static TrafficSplit between(
            RuleSetVersion currentVersion,
            RuleSetVersion baseline,
            RuleSetVersion candidate,
            double share,
            double validUntil) {
        // The salt depends only on the rule set, so that another attempt begins with the same sessions.
        long salt = Long.parseUnsignedLong(candidate.rulesHash().substring(0, SALT_DIGITS), HEXADECIMAL);
        return new TrafficSplit(currentVersion, baseline, candidate, share, salt, validUntil);
    }

    /** Whether this split has the given version objects and end of validity, so that it need not be replaced. */
    boolean matches(
            RuleSetVersion otherCurrent, RuleSetVersion otherBaseline, RuleSetVersion otherCandidate, double otherEnd) {
        return currentVersion == otherCurrent
                && baseline == otherBaseline
                && candidate == otherCandidate
                && validUntil == otherEnd;
    }

    /**
     * The version for a request that begins at {@code now}.
     *
     * @param session hash of the session, the same at all routers
     * @param now current time in seconds since 1970
     */
    public RuleSetVersion versionFor(long session, double now) {
        if (!(now < validUntil)) {
            return currentVersion;
        }
        return isCandidateSession(session) ? candidate : baseline;
    }

    /** Whether the session belongs to the candidate's share. It gets the candidate only until {@link #validUntil()}. */
    public boolean isCandidateSession(long session) {
        return mixHash(session ^ salt) >>> UNUSED_HASH_BITS < candidateThreshold;
    }

    /** Hash of the fleet's current rules, without any candidate. */
    public String currentRulesHash() {
        return currentVersion.rulesHash();
    }

    /** Hash of the candidate; null without one. */
    public String candidateRulesHash() {
        return candidate == null ? null : candidate.rulesHash();
    }

    /** The share of sessions that get the candidate; 0 without one. */
    public double share() {
        return share;
    }

    /** The salt that is combined with the hashes of sessions; 0 without a candidate. */
    public long salt() {
        return salt;
    }

    /** The end of this router's lease, in seconds since 1970; negative infinity without a candidate. */
    public double validUntil() {
        return validUntil;
    }

    /**
     * The finalizer of MurmurHash3. Mixes session hashes, which may be unevenly distributed, and makes the result
     * independent of other uses of the same hashes.
     */
    static long mixHash(long hash) {
        long mixed = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
