package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ObjDoubleConsumer;

/** Asks one member after the other whether it is there, on a bad way through others, and asks for others in turn. */
final class FailureDetector {
    /**
     * Of one probe: directly, then twice directly and through helpers. At a fifth lost one in five hundred finds
     * nobody.
     */
    private static final int MAX_ATTEMPTS = 3;
    /**
     * Members of the whole fleet that look at once when one is accused, on average: three that agree are then nearly
     * sure.
     */
    private static final double EXPECTED_CONFIRMERS = 10;
    /** Such looks at a time; the rest of a large cut is found by the rounds. */
    private static final int MAX_CONCURRENT_CONFIRMATIONS = 4;
    /** Errands for others at a time; further ones are not run. */
    private static final int MAX_RELAYED_PINGS = 1024;
    /**
     * Of the wait of whoever sent it: when a helper says that it has no answer yet, so that its own word is in time.
     */
    private static final double NEGATIVE_RESULT_FRACTION = 0.8;

    private static final class MemberProbe {
        final MemberRecord target;
        final Peer peer;
        final long sequence;
        final double startedAt;
        final double deadline;
        final double retryDelay;
        double nextAttemptAt;
        int attempts;
        int relayRequests;
        boolean relayResponded;
        boolean answered;

        MemberProbe(MemberRecord target, long sequence, double now, MembershipSettings settings, double patience) {
            this.target = target;
            this.sequence = sequence;
            peer = target.peer();
            startedAt = now;
            nextAttemptAt = now;
            deadline = now + settings.probeInterval() * patience;
            retryDelay = settings.probeRetryDelay() * patience;
        }

        /** The member has another life, or is out of the roster: what comes of it says nothing. */
        boolean isObsolete() {
            return !target.isLive() || !target.peer().equals(peer);
        }
    }

    private static final class RelayedPing {
        final Address requester;
        final MembershipMessage.PingRequest request;
        final long sequence;
        final double expiresAt;
        double negativeResultAt;

        RelayedPing(Address asker, MembershipMessage.PingRequest errand, long sequence, double saysAt, double until) {
            this.requester = asker;
            this.request = errand;
            this.sequence = sequence;
            this.negativeResultAt = saysAt;
            this.expiresAt = until;
        }
    }

    private final MembershipSettings settings;
    private final MembershipTable table;
    private final MessageSender sender;
    private final LocalHealth localHealth;
    private final SplittableRandom random;
    private final ObjDoubleConsumer<MemberClaim> onSuspect;
    /**
     * Emptied a period after they began; one by the rounds, or two where patience has changed, and
     * {@link #MAX_CONCURRENT_CONFIRMATIONS}.
     */
    private final List<MemberProbe> probes = new ArrayList<>();
    /** Emptied two periods after they began. */
    private final List<RelayedPing> relayedPings = new ArrayList<>();

    private double nextProbeAt;
    /** Every other probe goes to the neighbour: by chance alone one of thirty would not be probed for two seconds. */
    private boolean probeSuccessor;

    FailureDetector(
            MembershipSettings settings,
            MembershipTable register,
            MessageSender voice,
            LocalHealth health,
            SplittableRandom chance,
            double now,
            ObjDoubleConsumer<MemberClaim> accuse) {
        this.settings = settings;
        this.table = register;
        this.sender = voice;
        this.localHealth = health;
        this.random = chance;
        this.onSuspect = accuse;
        nextProbeAt = now
                + settings.probeInterval() * chance.nextDouble(); // so that routers started at once do not ask at once
    }

    /** Another router has accused that one: now and then this one looks as well. */
    void maybeConfirm(MemberRecord accused, double now) {
        if (random.nextDouble() * table.liveCount() < EXPECTED_CONFIRMERS) {
            probeNow(accused, now);
        }
    }

    /** Probes that one out of turn, where there is room for it. */
    void probeNow(MemberRecord target, double now) {
        if (probes.size() < MAX_CONCURRENT_CONFIRMATIONS
                && probes.stream().noneMatch(probe -> probe.target == target)) {
            startProbe(target, now);
        }
    }

    private void startProbe(MemberRecord target, double now) {
        probes.add(new MemberProbe(target, sender.nextSequence(), now, settings, localHealth.timeoutMultiplier()));
    }

    void onAck(Member by, long sequence, Outbox out) {
        for (MemberProbe probe : probes) {
            probe.answered |= probe.sequence == sequence && probe.peer.member().equals(by);
        }
        relayedPings.removeIf(run -> {
            boolean done =
                    run.sequence == sequence && run.request.target().member().equals(by);
            if (done) {
                out.add(run.requester, new MembershipMessage.PingRequestResult(run.request.sequence(), true));
            }
            return done;
        });
    }

    void onPingRequestResult(MembershipMessage.PingRequestResult done) {
        for (MemberProbe probe : probes) {
            if (probe.sequence == done.sequence()) {
                probe.relayResponded = true;
                probe.answered |= done.answered();
            }
        }
    }

    void onPingRequest(Address asker, MembershipMessage.PingRequest errand, double now, Outbox out) {
        if (relayedPings.size() < MAX_RELAYED_PINGS) {
            var run = new RelayedPing(
                    asker,
                    errand,
                    sender.nextSequence(),
                    now + NEGATIVE_RESULT_FRACTION * settings.probeRetryDelay(),
                    now + 2 * settings.probeInterval());
            relayedPings.add(run);
            sender.sendPing(
                    errand.target().address(), table.find(errand.target().member()), run.sequence, now, out);
        }
    }

    /** This router stood still: whatever had no answer may have had one. */
    void onStall() {
        probes.clear();
    }

    double tick(double now, Outbox out) {
        if (now >= nextProbeAt) {
            probeSuccessor = !probeSuccessor;
            MemberRecord next = probeSuccessor ? table.ringSuccessor() : table.nextProbeTarget();
            if (next != null) {
                startProbe(next, now);
            }
            nextProbeAt = now + settings.probeInterval() * localHealth.timeoutMultiplier();
        }
        double next = nextProbeAt;
        for (MemberProbe probe : List.copyOf(probes)) {
            if (probe.answered || probe.isObsolete() || now >= probe.deadline) {
                probes.remove(probe);
                finish(probe, now);
            } else {
                next = Math.min(next, advance(probe, now, out));
            }
        }
        return Math.min(next, tickRelayedPings(now, out));
    }

    private double advance(MemberProbe probe, double now, Outbox out) {
        if (now >= probe.nextAttemptAt && probe.attempts < MAX_ATTEMPTS) {
            Address to = probe.peer.address();
            sender.sendPing(to, probe.target, probe.sequence, now, out);
            if (probe.attempts > 0) {
                for (MemberRecord helper : table.randomMembers(settings.indirectPings(), probe.target)) {
                    out.add(helper.peer().address(), new MembershipMessage.PingRequest(probe.sequence, probe.peer));
                    probe.relayRequests++;
                }
            }
            probe.attempts++;
            probe.nextAttemptAt = probe.attempts < MAX_ATTEMPTS ? now + probe.retryDelay : probe.deadline;
        }
        return Math.min(probe.nextAttemptAt, probe.deadline);
    }

    private void finish(MemberProbe probe, double now) {
        if (probe.answered || probe.target.lastHeardAt > probe.startedAt) {
            localHealth.improve();
        } else if (!probe.isObsolete() && !localHealth.recentlyStalled(now)) {
            if (probe.relayRequests > 0 && !probe.relayResponded) {
                localHealth.degrade(); // nobody at all answers: it may well be this router that is cut off
            }
            MemberClaim claim = probe.target.claim;
            onSuspect.accept(
                    claim.withStatus(
                            MemberStatus.SUSPECT,
                            List.of(MemberClaim.accuserHash(sender.ownClaim().name()))),
                    now);
        }
    }

    private double tickRelayedPings(double now, Outbox out) {
        double next = Double.POSITIVE_INFINITY;
        relayedPings.removeIf(run -> now >= run.expiresAt);
        for (RelayedPing run : relayedPings) {
            if (now >= run.negativeResultAt) {
                out.add(run.requester, new MembershipMessage.PingRequestResult(run.request.sequence(), false));
                run.negativeResultAt = Double.POSITIVE_INFINITY;
            }
            next = Math.min(next, Math.min(run.negativeResultAt, run.expiresAt));
        }
        return next;
    }
}
