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
 * Probes the members in turn. A probe pings the member and, if no ack arrives in time, pings it again and requests
 * other members to ping it. A member that neither this router nor any of them reaches becomes suspect. Not thread-safe.
 */
final class FailureDetector {
    /**
     * Maximum number of pings in one probe. Each ping after the first is accompanied by ping requests to other members.
     * At a packet loss of 20 %, one in five hundred probes of a live member fails.
     */
    private static final int MAX_ATTEMPTS = 3;
    /**
     * Average number of members in the whole fleet that additionally probe a new suspect; enough for three of them to
     * confirm a real failure.
     */
    private static final double EXPECTED_CONFIRMERS = 10;
    /**
     * No additional probe is started while this number of probes is running. After a large partition, the regular
     * probes cover the remaining suspects.
     */
    private static final int MAX_CONCURRENT_CONFIRMATIONS = 4;

    /** A probe of one incarnation of a member: the pings and ping requests that it has sent, and their results. */
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

        /**
         * Returns whether the probed incarnation is no longer live or has been replaced, which makes the result of the
         * probe irrelevant.
         */
        boolean isObsolete() {
            return !target.isLive() || !target.peer().equals(peer);
        }

        boolean isFinished(double now) {
            return answered || isObsolete() || now >= deadline;
        }

        boolean isAttemptDue(double now) {
            return now >= nextAttemptAt && attempts < MAX_ATTEMPTS;
        }
    }

    private final MembershipSettings settings;
    private final MembershipTable table;
    private final MessageSender sender;
    private final LocalHealth localHealth;
    private final SplittableRandom random;
    private final ObjDoubleConsumer<MemberClaim> onSuspect;
    /**
     * Running probes: at most {@link #MAX_CONCURRENT_CONFIRMATIONS} and one or two regular ones. Each ends at its
     * deadline at the latest.
     */
    private final List<MemberProbe> probes = new ArrayList<>();

    private double nextProbeAt;
    /**
     * Whether the last regular probe targeted the successor on the ring, which every second regular probe does. With
     * random targets only, no member would probe one in thirty members for two seconds.
     */
    private boolean probeSuccessor;

    /** @param onSuspect receives the claim by which this router suspects a member, and the current time */
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
        // The random delay prevents routers that start at the same time from probing in lockstep.
        nextProbeAt = now + settings.probeInterval() * random.nextDouble();
    }

    /**
     * Probes a member that another router suspects, with a probability such that about ten routers of the fleet do so.
     */
    void maybeConfirm(MemberRecord suspect, double now) {
        if (random.nextDouble() * table.liveCount() < EXPECTED_CONFIRMERS) {
            probeNow(suspect, now);
        }
    }

    /**
     * Starts an additional probe of a member, unless the member is already being probed or too many probes are running.
     */
    void probeNow(MemberRecord target, double now) {
        boolean hasRoom = probes.size() < MAX_CONCURRENT_CONFIRMATIONS;
        if (hasRoom && probes.stream().noneMatch(probe -> probe.target == target)) {
            startProbe(target, now);
        }
    }

    private void startProbe(MemberRecord target, double now) {
        probes.add(new MemberProbe(target, sender.nextSequence(), now, settings, localHealth.timeoutMultiplier()));
    }

    /** Records an ack from a member for the ping with this sequence number. */
    void onAck(Member from, long sequence) {
        for (MemberProbe probe : probes) {
            probe.answered |= probe.sequence == sequence && probe.peer.member().equals(from);
        }
    }

    /** Records the result of a ping request that was sent to another member. */
    void onPingRequestResult(MembershipMessage.PingRequestResult result) {
        for (MemberProbe probe : probes) {
            if (probe.sequence == result.sequence()) {
                probe.relayResponded = true;
                probe.answered |= result.answered();
            }
        }
    }

    /** Cancels all probes after a stall of this router, since it may have missed their acks. */
    void onStall() {
        probes.clear();
    }

    /**
     * Starts, continues and finishes the probes that are due. Returns when the next tick is due, in seconds since 1970.
     */
    double tick(double now, Outbox out) {
        if (now >= nextProbeAt) {
            startNextProbe(now);
        }
        double next = nextProbeAt;
        for (MemberProbe probe : List.copyOf(probes)) {
            if (probe.isFinished(now)) {
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

    /**
     * Makes the next attempt of a probe if it is due. Returns when the probe needs the next tick, in seconds since
     * 1970.
     */
    private double advance(MemberProbe probe, double now, Outbox out) {
        if (probe.isAttemptDue(now)) {
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
        boolean responded = probe.answered || probe.target.lastContactAt > probe.startedAt;
        if (responded) {
            localHealth.improve();
        } else if (!probe.isObsolete() && !localHealth.recentlyStalled(now)) {
            boolean noRelayResponded = probe.relayRequests > 0 && !probe.relayResponded;
            if (noRelayResponded) {
                localHealth.degrade(); // this router itself may be partitioned from the fleet
            }
            long accuser = MemberClaim.accuserHash(sender.ownClaim().name());
            onSuspect.accept(probe.target.claim.withStatus(MemberStatus.SUSPECT, List.of(accuser)), now);
        }
    }
}
