package clayhook.fleet.state;

import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import clayhook.fleet.MembershipView;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** When this copy is compared with whose, one at a time, and whether it was brought up since the start. */
final class Walks {
    /** Seconds for which something may be missing before it is asked for: the news may be under way. */
    private static final double UNDER_WAY = 0.3;
    /** Seconds between two comparisons while this copy is not brought up. */
    private static final double HURRY = 0.1;
    /**
     * A costly comparison puts off the next one by that many intervals at most, and until this copy is brought up by
     * one.
     */
    private static final double LONGEST_REST = 4;

    private final MembershipView roster;
    private final Copy copy;
    private final Origins origins;
    private final StateSettings settings;
    private final StateCounts counts;
    private final SplittableRandom random;
    private final Allowance allowance;
    private final double start;
    /** Null between two comparisons. */
    private Walk walk;

    private double nextAt;
    /** The one that fell silent last or knew no more itself; another one is tried before it. */
    private Member shunned;

    private boolean broughtUp;
    /** Someone was compared with who knew no more either. */
    private boolean met;

    Walks(
            MembershipView roster,
            Copy copy,
            Origins origins,
            StateSettings settings,
            StateCounts counts,
            SplittableRandom random,
            double now) {
        this.roster = roster;
        this.copy = copy;
        this.origins = origins;
        this.settings = settings;
        this.counts = counts;
        this.random = random;
        allowance = new Allowance(settings.catchUpBytes(), now);
        start = now;
        nextAt = now;
    }

    /**
     * Whether this copy has what the fleet had as this router started: it has got all from one who was brought up; or
     * no such one was met for a stated time, and it has met others in the same case or there are none.
     */
    boolean whole(double now) {
        return broughtUp
                || now - start >= settings.aloneAfter()
                        && (met
                                || roster.livePeers().isEmpty()
                                        && roster.possiblyServing(now).isEmpty());
    }

    /**
     * Guards against answers that stood in a queue while this router stood still, and against peers that have gone
     * meanwhile.
     */
    void stood(double now) {
        counts.walksGivenUp += walk == null ? 0 : 1;
        walk = null;
        nextAt = now;
    }

    /** Returns when the next turn is wanted. */
    double turn(double now, Outbox out) {
        if (walk != null && walk.silent(now)) {
            counts.walksGivenUp++;
            shunned = walk.peer.member();
            walk = null;
            nextAt = now;
        }
        if (walk == null && now >= nextAt) {
            begin(now);
        }
        go(now, out);
        return walk != null ? now + settings.round() / 4 : nextAt;
    }

    private void begin(double now) {
        List<Peer> others = roster.livePeers();
        if (others.isEmpty()) {
            nextAt = now + HURRY;
            return;
        }
        counts.walksBegun++;
        List<Member> lacking = origins.lacking(!broughtUp, UNDER_WAY, now);
        long id = random.nextLong() | 1; // never 0, which stands for none
        walk = new Walk(peer(others, lacking), id, lacking, copy, settings, counts, allowance, now);
    }

    /** Anyone, or now and then one of whom something is missing: it has that for sure. */
    private Peer peer(List<Peer> others, List<Member> lacking) {
        if (broughtUp && !lacking.isEmpty() && random.nextBoolean()) {
            Member wanted = lacking.get(random.nextInt(lacking.size()));
            Optional<Peer> itself =
                    others.stream().filter(peer -> peer.member().equals(wanted)).findFirst();
            if (itself.isPresent() && !wanted.equals(shunned)) {
                return itself.get();
            }
        }
        Peer peer = others.get(random.nextInt(others.size()));
        for (int i = 0; i < 3 && (peer.member().equals(shunned) || !roster.clockWithinBound(peer.member())); i++) {
            peer = others.get(random.nextInt(others.size()));
        }
        return peer;
    }

    private void go(double now, Outbox out) {
        if (walk != null) {
            walk.go(now, out);
            if (walk.done()) {
                finish(now);
            }
        }
    }

    private void finish(double now) {
        counts.walksDone++;
        shunned = walk.peerWhole() ? null : walk.peer.member();
        met = true;
        if (walk.complete() && roster.clockWithinBound(walk.peer.member())) {
            walk.pairs().forEach(pair -> origins.has(pair, now));
            broughtUp |= walk.peerWhole() || now - start >= settings.aloneAfter();
        }
        double paid = walk.bytes() / settings.digestBytes();
        double rest = whole(now)
                ? Math.min(LONGEST_REST * settings.digestEvery(), Math.max(settings.digestEvery(), paid))
                : Math.min(settings.digestEvery(), Math.max(HURRY, paid / LONGEST_REST));
        // Uneven, so that routers that started together do not all compare together.
        nextAt = now + rest * (0.75 + random.nextDouble() / 2);
        walk = null;
    }

    void heard(Peer from, Word word, boolean settled, double now, Outbox out) {
        if (walk == null) {
            return;
        }
        if (word instanceof Word.Pairs pairs) {
            walk.heard(from, pairs, now);
        } else if (word instanceof Word.Roots roots) {
            walk.heard(from, roots, now);
        } else if (word instanceof Word.Node node) {
            walk.heard(from, node, now);
        } else if (word instanceof Word.Entries entries) {
            walk.heard(from, entries, settled, now, out);
        }
        go(now, out);
    }
}
