package clayhook.fleet.state;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** When this copy is compared with whose, one at a time, and whether it was brought up since the start. */
final class AntiEntropyScheduler {
    /** Seconds for which something may be missing before it is asked for: the news may be under way. */
    private static final double DELTA_GRACE_SECONDS = 0.3;
    /** Seconds between two comparisons while this copy is not brought up. */
    private static final double BOOTSTRAP_INTERVAL_SECONDS = 0.1;
    /**
     * A costly comparison puts off the next one by that many intervals at most, and until this copy is brought up by
     * one.
     */
    private static final double MAX_PAUSE_INTERVALS = 4;

    private final MembershipView roster;
    private final Replica replica;
    private final VersionVector versionVector;
    private final StateSettings settings;
    private final StateCounters counters;
    private final SplittableRandom random;
    private final TokenBucket byteBudget;
    private final double startedAt;
    /** Null between two comparisons. */
    private AntiEntropySession session;

    private double nextSessionAt;
    /** The one that fell silent last or knew no more itself; another one is tried before it. */
    private Member avoidedMember;

    private boolean bootstrappedFromPeer;
    /** Someone was compared with who knew no more either. */
    private boolean sessionCompleted;

    AntiEntropyScheduler(
            MembershipView roster,
            Replica copy,
            VersionVector origins,
            StateSettings settings,
            StateCounters counts,
            SplittableRandom random,
            double now) {
        this.roster = roster;
        this.replica = copy;
        this.versionVector = origins;
        this.settings = settings;
        this.counters = counts;
        this.random = random;
        byteBudget = new TokenBucket(settings.catchUpBytesPerSecond(), now);
        startedAt = now;
        nextSessionAt = now;
    }

    /**
     * Whether this copy has what the fleet had as this router started: it has got all from one who was brought up; or
     * no such one was met for a stated time, and it has met others in the same case or there are none.
     */
    boolean isBootstrapped(double now) {
        return bootstrappedFromPeer
                || now - startedAt >= settings.bootstrapTimeout()
                        && (sessionCompleted
                                || roster.livePeers().isEmpty()
                                        && roster.possiblyServing(now).isEmpty());
    }

    /**
     * Guards against answers that stood in a queue while this router stood still, and against peers that have gone
     * meanwhile.
     */
    void onStall(double now) {
        counters.sessionsAborted += session == null ? 0 : 1;
        session = null;
        nextSessionAt = now;
    }

    /** Returns when the next turn is wanted. */
    double tick(double now, Outbox out) {
        if (session != null && session.isTimedOut(now)) {
            counters.sessionsAborted++;
            avoidedMember = session.peer.member();
            session = null;
            nextSessionAt = now;
        }
        if (session == null && now >= nextSessionAt) {
            startSession(now);
        }
        advanceSession(now, out);
        return session != null ? now + settings.broadcastInterval() / 4 : nextSessionAt;
    }

    private void startSession(double now) {
        List<Peer> others = roster.livePeers();
        if (others.isEmpty()) {
            nextSessionAt = now + BOOTSTRAP_INTERVAL_SECONDS;
            return;
        }
        counters.sessionsStarted++;
        List<Member> lacking = versionVector.membersWithGaps(!bootstrappedFromPeer, DELTA_GRACE_SECONDS, now);
        long id = random.nextLong() | 1; // never 0, which stands for none
        session = new AntiEntropySession(
                choosePeer(others, lacking), id, lacking, replica, settings, counters, byteBudget, now);
    }

    /** Anyone, or now and then one of whom something is missing: it has that for sure. */
    private Peer choosePeer(List<Peer> others, List<Member> lacking) {
        if (bootstrappedFromPeer && !lacking.isEmpty() && random.nextBoolean()) {
            Member wanted = lacking.get(random.nextInt(lacking.size()));
            Optional<Peer> itself =
                    others.stream().filter(peer -> peer.member().equals(wanted)).findFirst();
            if (itself.isPresent() && !wanted.equals(avoidedMember)) {
                return itself.get();
            }
        }
        Peer peer = others.get(random.nextInt(others.size()));
        for (int i = 0;
                i < 3 && (peer.member().equals(avoidedMember) || !roster.clockWithinBound(peer.member()));
                i++) {
            peer = others.get(random.nextInt(others.size()));
        }
        return peer;
    }

    private void advanceSession(double now, Outbox out) {
        if (session != null) {
            session.sendDueRequests(now, out);
            if (session.isDone()) {
                finishSession(now);
            }
        }
    }

    private void finishSession(double now) {
        counters.sessionsCompleted++;
        avoidedMember = session.isPeerBootstrapped() ? null : session.peer.member();
        sessionCompleted = true;
        if (session.isComplete() && roster.clockWithinBound(session.peer.member())) {
            session.peerVersions().forEach(pair -> versionVector.markComplete(pair, now));
            bootstrappedFromPeer |= session.isPeerBootstrapped() || now - startedAt >= settings.bootstrapTimeout();
        }
        double paid = session.transferredBytes() / settings.antiEntropyBytesPerSecond();
        double rest = isBootstrapped(now)
                ? Math.min(
                        MAX_PAUSE_INTERVALS * settings.antiEntropyInterval(),
                        Math.max(settings.antiEntropyInterval(), paid))
                : Math.min(
                        settings.antiEntropyInterval(),
                        Math.max(BOOTSTRAP_INTERVAL_SECONDS, paid / MAX_PAUSE_INTERVALS));
        // Uneven, so that routers that started together do not all compare together.
        nextSessionAt = now + rest * (0.75 + random.nextDouble() / 2);
        session = null;
    }

    void onResponse(Peer from, StateMessage word, boolean settled, double now, Outbox out) {
        if (session == null) {
            return;
        }
        if (word instanceof StateMessage.VersionVectorUpdate pairs) {
            session.onResponse(from, pairs, now);
        } else if (word instanceof StateMessage.RootDigestsResponse roots) {
            session.onResponse(from, roots, now);
        } else if (word instanceof StateMessage.TreeNodeResponse node) {
            session.onResponse(from, node, now);
        } else if (word instanceof StateMessage.RangeEntries entries) {
            session.onResponse(from, entries, settled, now, out);
        }
        advanceSession(now, out);
    }
}
