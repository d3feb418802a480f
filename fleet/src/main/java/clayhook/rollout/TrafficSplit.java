package clayhook.rollout;

/**
 * Which sessions get the candidate, as of now at this router. Immutable; request threads read one reference and
 * allocate nothing. A session gets the same answer at every router that has come to the same stage, and once it has the
 * candidate it keeps it as the share grows.
 */
public final class TrafficSplit {
    /** Shares are compared in this many steps, so that each share has a whole number of them. */
    private static final long HASH_STEPS = 1L << 53;

    private final RuleSetVersion currentVersion;
    private final RuleSetVersion baseline;
    private final RuleSetVersion candidate;
    private final double share;
    private final long candidateSteps;
    private final long salt;
    private final double validUntil;

    private TrafficSplit(
            RuleSetVersion plain, RuleSetVersion old, RuleSetVersion candidate, double share, long salt, double until) {
        this.currentVersion = plain;
        this.baseline = old;
        this.candidate = candidate;
        this.share = share;
        this.candidateSteps = (long) (share * HASH_STEPS);
        this.salt = salt;
        this.validUntil = until;
    }

    /** One version for all. */
    static TrafficSplit unsplit(RuleSetVersion plain) {
        return new TrafficSplit(plain, null, null, 0, 0, Double.NEGATIVE_INFINITY);
    }

    /**
     * Two versions until then, seconds since 1970; after that the one that the fleet stands on, whoever forgets to say
     * so.
     */
    static TrafficSplit between(
            RuleSetVersion plain, RuleSetVersion old, RuleSetVersion candidate, double share, double until) {
        // By the set alone: a rollout that is tried again begins with the same sessions.
        return new TrafficSplit(
                plain,
                old,
                candidate,
                share,
                Long.parseUnsignedLong(candidate.rulesHash().substring(0, 16), 16),
                until);
    }

    boolean matches(RuleSetVersion plain, RuleSetVersion old, RuleSetVersion candidate, double until) {
        return this.currentVersion == plain
                && this.baseline == old
                && this.candidate == candidate
                && this.validUntil == until;
    }

    /**
     * The version for a command of that session that begins now. {@code session}: any hash that all routers agree on.
     */
    public RuleSetVersion versionFor(long session, double now) {
        if (!(now < validUntil)) {
            return currentVersion;
        }
        return candidate(session) ? candidate : baseline;
    }

    /** Whether the session belongs to the candidate's share; it gets the candidate only as long as the lease lasts. */
    public boolean candidate(long session) {
        return mixHash(session ^ salt) >>> 11 < candidateSteps;
    }

    /** Hash of the rules that the fleet stands on. */
    public String currentRulesHash() {
        return currentVersion.rulesHash();
    }

    /** Hash of the candidate, or null. */
    public String candidate() {
        return candidate == null ? null : candidate.rulesHash();
    }

    /** Of all sessions. */
    public double share() {
        return share;
    }

    public long salt() {
        return salt;
    }

    /** When the lease ends, seconds since 1970. */
    public double validUntil() {
        return validUntil;
    }

    /** MurmurHash3's finalizer: hashes of sessions may be poor, and must not be the ones that anything else goes by. */
    static long mixHash(long hash) {
        long mixed = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
