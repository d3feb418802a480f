package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ObjDoubleConsumer;

/**
 * Probes one member after the other: pings it, and where it does not answer pings it again and asks other members to
 * ping it. A member that nobody reaches is suspected. Not thread-safe.
 */
final class FailureDetector {
    /**
     * Pings of one probe: the first alone, the others together with ping requests. At a packet loss of 20 %, one probe
     * of a live member in five hundred fails.
     */
    private static final int MAX_ATTEMPTS = 3;
    /**
     * Members of the whole fleet that probe a suspect out of turn, on average; enough that three confirm a real
     * failure.
     */
    private static final double EXPECTED_CONFIRMERS = 10;
    /** Probes out of turn at a time; further suspects of a large partition are left to the regular probes. */
    private static final int MAX_CONCURRENT_CONFIRMATIONS = 4;

    /** The attempts to reach one incarnation of a member. */
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

        MemberProbe(
                MemberRecord target, long sequence, double now, MembershipSettings settings, double timeoutMultiplier) {
            this.target = target;
            this.sequence = sequence;
            peer = target.peer();
            startedAt = now;
            nextAttemptAt = now;
            deadline = now + settings.probeInterval() * timeoutMultiplier;
            retryDelay = settings.probeRetryDelay() * timeoutMultiplier;
        }

        /** Whether the member is no longer live in this incarnation, so that the outcome says nothing. */
        boolean isObsolete() {
            return !target.isLive() || !target.peer().equals(peer);
        }

        boolean isOver(double now) {
            return answered || isObsolete() || now >= deadline;
        }

        boolean attemptIsDue(double now) {
            return now >= nextAttemptAt && attempts < MAX_ATTEMPTS;
        }
    }

    private final MembershipSettings settings;
    private final MembershipTable table;
    private final MessageSender sender;
    private final LocalHealth localHealth;
    private final SplittableRandom random;
    private final ObjDoubleConsumer<MemberClaim> onSuspect;
    /** At most {@link #MAX_CONCURRENT_CONFIRMATIONS} and one or two regular probes; each ends at its deadline. */
    private final List<MemberProbe> probes = new ArrayList<>();

    private double nextProbeAt;
    /**
     * Whether the last probe went to the successor on the ring, as every other one does. With random targets alone, one
     * member in thirty would go unprobed by anyone for two seconds.
     */
    private boolean probeSuccessor;

    /** @param onSuspect receives the claim that a member is suspected by this router, and the time */
    FailureDetector(
            MembershipSettings settings,
            MembershipTable table,
            MessageSender sender,
            LocalHealth localHealth,
            SplittableRandom random,
            double now,
            ObjDoubleConsumer<MemberClaim> onSuspect) {
        this.settings = settings;
        this.table = table;
        this.sender = sender;
        this.localHealth = localHealth;
        this.random = random;
        this.onSuspect = onSuspect;
        // Random, so that routers started at once do not probe in step.
        nextProbeAt = now + settings.probeInterval() * random.nextDouble();
    }

    /**
     * Another router suspects that member: probes it with a probability that makes a few routers of the fleet do so.
     */
    void maybeConfirm(MemberRecord suspect, double now) {
        if (random.nextDouble() * table.liveCount() < EXPECTED_CONFIRMERS) {
            probeNow(suspect, now);
        }
    }

    /** Probes a member out of turn, unless it is being probed or too many probes are under way. */
    void probeNow(MemberRecord target, double now) {
        boolean hasRoom = probes.size() < MAX_CONCURRENT_CONFIRMATIONS;
        if (hasRoom && probes.stream().noneMatch(probe -> probe.target == target)) {
            startProbe(target, now);
        }
    }

    private void startProbe(MemberRecord target, double now) {
        probes.add(new MemberProbe(target, sender.nextSequence(), now, settings, localHealth.timeoutMultiplier()));
    }

    /** Notes that a member answered the ping of that sequence number. */
    void onAck(Member from, long sequence) {
        for (MemberProbe probe : probes) {
            probe.answered |= probe.sequence == sequence && probe.peer.member().equals(from);
        }
    }

    /** Notes the answer of a member that was asked to ping another one. */
    void onPingRequestResult(MembershipMessage.PingRequestResult result) {
        for (MemberProbe probe : probes) {
            if (probe.sequence == result.sequence()) {
                probe.relayResponded = true;
                probe.answered |= result.answered();
            }
        }
    }

    /** Abandons all probes after a stall of this router, which may have missed the answers. */
    void onStall() {
        probes.clear();
    }

    /** Starts, repeats and ends probes that are due. Returns when the next tick is due. */
    double tick(double now, Outbox out) {
        if (now >= nextProbeAt) {
            startNextProbe(now);
        }
        double next = nextProbeAt;
        for (MemberProbe probe : List.copyOf(probes)) {
            if (probe.isOver(now)) {
                probes.remove(probe);
                finish(probe, now);
            } else {
                next = Math.min(next, advance(probe, now, out));
            }
        }
        return next;
    }

    private void startNextProbe(double now) {
        probeSuccessor = !probeSuccessor;
        MemberRecord target = probeSuccessor ? table.ringSuccessor() : table.nextProbeTarget();
        if (target != null) {
            startProbe(target, now);
        }
        nextProbeAt = now + settings.probeInterval() * localHealth.timeoutMultiplier();
    }

    /** Makes the next attempt if it is due. Returns when the probe needs the next tick. */
    private double advance(MemberProbe probe, double now, Outbox out) {
        if (probe.attemptIsDue(now)) {
            Address address = probe.peer.address();
            sender.sendPing(address, probe.target, probe.sequence, now, out);
            if (probe.attempts > 0) {
                requestPings(probe, out);
            }
            probe.attempts++;
            probe.nextAttemptAt = probe.attempts < MAX_ATTEMPTS ? now + probe.retryDelay : probe.deadline;
        }
        return Math.min(probe.nextAttemptAt, probe.deadline);
    }

    private void requestPings(MemberProbe probe, Outbox out) {
        for (MemberRecord relay : table.randomMembers(settings.indirectPings(), probe.target)) {
            out.add(relay.peer().address(), new MembershipMessage.PingRequest(probe.sequence, probe.peer));
            probe.relayRequests++;
        }
    }

    private void finish(MemberProbe probe, double now) {
        boolean heard = probe.answered || probe.target.lastHeardAt > probe.startedAt;
        if (heard) {
            localHealth.improve();
        } else if (!probe.isObsolete() && !localHealth.recentlyStalled(now)) {
            boolean nobodyAnswered = probe.relayRequests > 0 && !probe.relayResponded;
            if (nobodyAnswered) {
                localHealth.degrade(); // this router itself may be cut off
            }
            long accuser = MemberClaim.accuserHash(sender.ownClaim().name());
            onSuspect.accept(probe.target.claim.withStatus(MemberStatus.SUSPECT, List.of(accuser)), now);
        }
    }
}
