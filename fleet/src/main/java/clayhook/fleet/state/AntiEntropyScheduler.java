package clayhook.fleet.state;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Starts anti-entropy sessions, one at a time, and chooses their peers. Not thread-safe. */
final class AntiEntropyScheduler {
    /**
     * Time in seconds for which an update may be missing before it is requested, since its broadcast may still arrive.
     */
    private static final double DELTA_GRACE_SECONDS = 0.3;
    /**
     * Minimum pause in seconds between two sessions while this replica is not bootstrapped; also the retry interval
     * while there are no live peers.
     */
    private static final double BOOTSTRAP_INTERVAL_SECONDS = 0.1;
    /**
     * Maximum pause after a session that used much bandwidth, as a multiple of the anti-entropy interval. While this
     * replica is not bootstrapped, the pause that the bandwidth requires is divided by this number.
     */
    private static final double MAX_PAUSE_INTERVALS = 4;
    /** Lower bound of the random factor by which a pause is multiplied; the factor is 1 on average. */
    private static final double MIN_JITTER_FACTOR = 0.75;

    private static final double JITTER_RANGE = 0.5;
    /** Number of ticks per broadcast interval while a session is active. */
    private static final int SESSION_TICKS_PER_INTERVAL = 4;
    /** Maximum number of further random choices if the chosen peer is to be avoided. */
    private static final int MAX_CHOICE_RETRIES = 3;

    private final MembershipView membership;
    private final Replica replica;
    private final VersionVector versionVector;
    private final BootstrapStatus bootstrap;
    private final StateSettings settings;
    private final StateCounters counters;
    private final SplittableRandom random;
    private final TokenBucket byteBudget;
    /** The active session; null between two sessions. */
    private AntiEntropySession session;

    private double nextSessionAt;
    /** The peer of the last session if that session timed out or its peer was not bootstrapped; null otherwise. */
    private Member avoidedMember;

    AntiEntropyScheduler(
            MembershipView membership,
            Replica replica,
            VersionVector versionVector,
            BootstrapStatus bootstrap,
            StateSettings settings,
            StateCounters counters,
            SplittableRandom random,
            double now) {
        this.membership = membership;
        this.replica = replica;
        this.versionVector = versionVector;
        this.bootstrap = bootstrap;
        this.settings = settings;
        this.counters = counters;
        this.random = random;
        byteBudget = new TokenBucket(settings.catchUpBytesPerSecond(), now);
        nextSessionAt = now;
    }

    /**
     * Abandons the active session and schedules a new one immediately, since after a stall of this router queued
     * responses are out of date and the peer may have left.
     */
    void onStall(double now) {
        if (session != null) {
            abandonSession();
        }
        nextSessionAt = now;
    }

    /**
     * Advances the active session or starts a new one if it is due. Returns the time at which the next tick is due, in
     * seconds since 1970.
     */
    double tick(double now, Outbox outbox) {
        if (session != null && session.isTimedOut(now)) {
            avoidedMember = session.peer.member();
            abandonSession();
            nextSessionAt = now;
        }
        if (session == null && now >= nextSessionAt) {
            startSession(now);
        }
        advanceSession(now, outbox);
        return session != null ? now + settings.broadcastInterval() / SESSION_TICKS_PER_INTERVAL : nextSessionAt;
    }

    /** Passes a response to the active session, see {@link AntiEntropySession#onResponse}. */
    void onResponse(Peer from, AntiEntropyResponse response, boolean allAcceptedOrObsolete, double now, Outbox outbox) {
        if (session != null) {
            session.onResponse(from, response, allAcceptedOrObsolete, now, outbox);
            advanceSession(now, outbox);
        }
    }

    private void startSession(double now) {
        List<Peer> peers = membership.livePeers();
        if (peers.isEmpty()) {
            nextSessionAt = now + BOOTSTRAP_INTERVAL_SECONDS;
            return;
        }
        counters.sessionsStarted++;
        List<Member> incompleteMembers = bootstrap.isBootstrappedFromPeer()
                ? versionVector.membersWithGaps(DELTA_GRACE_SECONDS, now)
                : membership.possiblyServing(now);
        long sessionId = random.nextLong() | 1; // never AntiEntropyResponse.NO_SESSION
        Peer peer = choosePeer(peers, incompleteMembers);
        session = new AntiEntropySession(
                peer, sessionId, incompleteMembers, replica, settings, counters, byteBudget, now);
    }

    /**
     * Chooses a random peer. Once this replica was bootstrapped from a peer, half of the choices prefer a live member
     * some of whose updates are missing, since the origin of an update always has it. Tries not to choose a peer that
     * is to be avoided.
     */
    private Peer choosePeer(List<Peer> peers, List<Member> incompleteMembers) {
        if (bootstrap.isBootstrappedFromPeer() && !incompleteMembers.isEmpty() && random.nextBoolean()) {
            Member incompleteMember = incompleteMembers.get(random.nextInt(incompleteMembers.size()));
            Optional<Peer> origin = peers.stream()
                    .filter(peer -> peer.member().equals(incompleteMember))
                    .findFirst();
            if (origin.isPresent() && !incompleteMember.equals(avoidedMember)) {
                return origin.get();
            }
        }
        Peer peer = peers.get(random.nextInt(peers.size()));
        for (int i = 0; i < MAX_CHOICE_RETRIES && isAvoided(peer.member()); i++) {
            peer = peers.get(random.nextInt(peers.size()));
        }
        return peer;
    }

    private boolean isAvoided(Member member) {
        return member.equals(avoidedMember) || !membership.clockWithinBound(member);
    }

    private void advanceSession(double now, Outbox outbox) {
        if (session != null) {
            session.sendDueRequests(now, outbox);
            if (session.isDone()) {
                finishSession(now);
            }
        }
    }

    private void abandonSession() {
        counters.sessionsAborted++;
        session = null;
    }

    private void finishSession(double now) {
        counters.sessionsCompleted++;
        Member peer = session.peer.member();
        avoidedMember = session.isPeerBootstrapped() ? null : peer;
        bootstrap.onSessionDone();
        if (session.isComplete() && membership.clockWithinBound(peer)) {
            session.peerVersions().forEach(version -> versionVector.markComplete(version, now));
            bootstrap.onReplicaComplete(session.isPeerBootstrapped(), now);
        }
        // Jitter spreads the sessions of routers that started at the same time.
        double jitter = MIN_JITTER_FACTOR + random.nextDouble() * JITTER_RANGE;
        nextSessionAt = now + pauseSeconds(session.transferredBytes(), now) * jitter;
        session = null;
    }

    /** Returns the pause in seconds after a session, which keeps sessions within their average bandwidth. */
    private double pauseSeconds(double transferredBytes, double now) {
        double interval = settings.antiEntropyInterval();
        double secondsAtAverageBandwidth = transferredBytes / settings.antiEntropyBytesPerSecond();
        return bootstrap.isBootstrapped(now)
                ? Math.min(MAX_PAUSE_INTERVALS * interval, Math.max(interval, secondsAtAverageBandwidth))
                : Math.min(
                        interval,
                        Math.max(BOOTSTRAP_INTERVAL_SECONDS, secondsAtAverageBandwidth / MAX_PAUSE_INTERVALS));
    }
}
