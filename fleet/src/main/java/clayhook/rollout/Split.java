package clayhook.rollout;

/**
 * Which sessions get the candidate, as of now at this router. Immutable; request threads read one reference and
 * allocate nothing. A session gets the same answer at every router that has come to the same stage, and once it has the
 * candidate it keeps it as the share grows.
 */
public final class Split {
    /** Shares are compared in this many steps, so that each share has a whole number of them. */
    private static final long STEPS = 1L << 53;

    private final Version plain;
    private final Version old;
    private final Version candidate;
    private final double share;
    private final long steps;
    private final long salt;
    private final double until;

    private Split(Version plain, Version old, Version candidate, double share, long salt, double until) {
        this.plain = plain;
        this.old = old;
        this.candidate = candidate;
        this.share = share;
        this.steps = (long) (share * STEPS);
        this.salt = salt;
        this.until = until;
    }

    /** One version for all. */
    static Split whole(Version plain) {
        return new Split(plain, null, null, 0, 0, Double.NEGATIVE_INFINITY);
    }

    /**
     * Two versions until then, seconds since 1970; after that the one that the fleet stands on, whoever forgets to say
     * so.
     */
    static Split two(Version plain, Version old, Version candidate, double share, double until) {
        // By the set alone: a rollout that is tried again begins with the same sessions.
        return new Split(
                plain,
                old,
                candidate,
                share,
                Long.parseUnsignedLong(candidate.rules().substring(0, 16), 16),
                until);
    }

    boolean is(Version plain, Version old, Version candidate, double until) {
        return this.plain == plain && this.old == old && this.candidate == candidate && this.until == until;
    }

    /**
     * The version for a command of that session that begins now. {@code session}: any hash that all routers agree on.
     */
    public Version version(long session, double now) {
        if (!(now < until)) {
            return plain;
        }
        return candidate(session) ? candidate : old;
    }

    /** Whether the session belongs to the candidate's share; it gets the candidate only as long as the lease lasts. */
    public boolean candidate(long session) {
        return mixed(session ^ salt) >>> 11 < steps;
    }

    /** Hash of the rules that the fleet stands on. */
    public String current() {
        return plain.rules();
    }

    /** Hash of the candidate, or null. */
    public String candidate() {
        return candidate == null ? null : candidate.rules();
    }

    /** Of all sessions. */
    public double share() {
        return share;
    }

    public long salt() {
        return salt;
    }

    /** When the lease ends, seconds since 1970. */
    public double until() {
        return until;
    }

    /** MurmurHash3's finalizer: hashes of sessions may be poor, and must not be the ones that anything else goes by. */
    static long mixed(long hash) {
        long mixed = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }
}
