package clayhook.rollout;

/**
 * Which sessions get the candidate at this router. Immutable, for any thread; reading it allocates nothing. A session
 * gets the same answer at every router that has come to the same stage, and keeps the candidate as the share grows.
 */
public final class TrafficSplit {
    /** Resolution of shares: the number of values that the used bits of a hash can have. */
    private static final long HASH_STEPS = 1L << 53;

    private static final int UNUSED_HASH_BITS = Long.SIZE - 53;
    /** Digits of the candidate's hash that make the salt: 64 bits. */
    private static final int SALT_DIGITS = 16;

    private static final int HEXADECIMAL = 16;

    private final RuleSetVersion currentVersion;
    private final RuleSetVersion baseline;
    private final RuleSetVersion candidate;
    private final double share;
    private final long candidateSteps;
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
        this.candidateSteps = (long) (share * HASH_STEPS);
        this.salt = salt;
        this.validUntil = validUntil;
    }

    /** All sessions get the current version. */
    static TrafficSplit unsplit(RuleSetVersion currentVersion) {
        return new TrafficSplit(currentVersion, null, null, 0, 0, Double.NEGATIVE_INFINITY);
    }

    /**
     * Sessions are split between baseline and candidate.
     *
     * @param currentVersion for all sessions from {@code validUntil} on, even if nobody replaces this split
     * @param share of sessions that get the candidate
     * @param validUntil seconds since 1970
     */
    static TrafficSplit between(
            RuleSetVersion currentVersion,
            RuleSetVersion baseline,
            RuleSetVersion candidate,
            double share,
            double validUntil) {
        // The salt depends on the rule set alone, so that another attempt begins with the same sessions.
        long salt = Long.parseUnsignedLong(candidate.rulesHash().substring(0, SALT_DIGITS), HEXADECIMAL);
        return new TrafficSplit(currentVersion, baseline, candidate, share, salt, validUntil);
    }

    /** Whether this split has the same version objects and end; if so, there is no need to replace it. */
    boolean matches(
            RuleSetVersion otherCurrent, RuleSetVersion otherBaseline, RuleSetVersion otherCandidate, double otherEnd) {
        return currentVersion == otherCurrent
                && baseline == otherBaseline
                && candidate == otherCandidate
                && validUntil == otherEnd;
    }

    /**
     * The version for a request that begins now.
     *
     * @param session a hash of the session that is the same at all routers
     * @param now seconds since 1970
     */
    public RuleSetVersion versionFor(long session, double now) {
        if (!(now < validUntil)) {
            return currentVersion;
        }
        return isCandidateSession(session) ? candidate : baseline;
    }

    /** Whether the session belongs to the candidate's share; it gets the candidate only while the lease lasts. */
    public boolean isCandidateSession(long session) {
        return mixHash(session ^ salt) >>> UNUSED_HASH_BITS < candidateSteps;
    }

    /** Hash of the fleet's current rules, without any candidate. */
    public String currentRulesHash() {
        return currentVersion.rulesHash();
    }

    /** Hash of the candidate, or null. */
    public String candidateRulesHash() {
        return candidate == null ? null : candidate.rulesHash();
    }

    /** The share of sessions that get the candidate. */
    public double share() {
        return share;
    }

    /** What is mixed into the hashes of sessions. */
    public long salt() {
        return salt;
    }

    /** When the lease ends, in seconds since 1970; negative infinity without a candidate. */
    public double validUntil() {
        return validUntil;
    }

    /** The finalizer of MurmurHash3. Session hashes may be poor, and other uses of them must stay independent. */
    static long mixHash(long hash) {
        long mixed = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
