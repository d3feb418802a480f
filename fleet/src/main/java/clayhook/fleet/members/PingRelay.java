package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import java.util.ArrayList;
import java.util.List;

/** Pings members on behalf of other members that cannot reach them, and reports the results. Not thread-safe. */
final class PingRelay {
    /** Maximum number of pending relayed pings; further requests are ignored. */
    private static final int MAX_RELAYED_PINGS = 1024;
    /**
     * Fraction of the retry delay after which a missing ack is reported, so that the requester receives the report in
     * time even if the target's ack is late.
     */
    private static final double NEGATIVE_RESULT_FRACTION = 0.8;
    /** Number of probe intervals during which a late ack is still reported. */
    private static final int LIFETIME_INTERVALS = 2;

    private static final class RelayedPing {
        final Address requester;
        final MembershipMessage.PingRequest request;
        final long sequence;
        final double expiresAt;
        /** When a missing ack is due to be reported, in seconds since 1970; infinity after it was reported. */
        double negativeResultAt;

        RelayedPing(
                Address requester,
                MembershipMessage.PingRequest request,
                long sequence,
                double negativeResultAt,
                double expiresAt) {
            this.requester = requester;
            this.request = request;
            this.sequence = sequence;
            this.negativeResultAt = negativeResultAt;
            this.expiresAt = expiresAt;
        }

        boolean isAnsweredBy(Member member, long ackSequence) {
            return sequence == ackSequence && request.target().member().equals(member);
        }

        void report(boolean answered, Outbox out) {
            out.add(requester, new MembershipMessage.PingRequestResult(request.sequence(), answered));
        }
    }

    private final MembershipSettings settings;
    private final MembershipTable table;
    private final MessageSender sender;
    private final List<RelayedPing> relayedPings = new ArrayList<>();

    PingRelay(MembershipSettings settings, MembershipTable table, MessageSender sender) {
        this.settings = settings;
        this.table = table;
        this.sender = sender;
    }

    /** Pings the target of a request immediately. */
    void onPingRequest(Address requester, MembershipMessage.PingRequest request, double now, Outbox out) {
        if (relayedPings.size() >= MAX_RELAYED_PINGS) {
            return;
        }
        double negativeResultAt = now + NEGATIVE_RESULT_FRACTION * settings.probeRetryDelay();
        double expiresAt = now + LIFETIME_INTERVALS * settings.probeInterval();
        var relayed = new RelayedPing(requester, request, sender.nextSequence(), negativeResultAt, expiresAt);
        relayedPings.add(relayed);
        MemberRecord target = table.find(request.target().member());
        sender.sendPing(request.target().address(), target, relayed.sequence, now, out);
    }

    /** Reports an ack to the member that requested the ping. */
    void onAck(Member from, long sequence, Outbox out) {
        relayedPings.removeIf(relayed -> {
            boolean answered = relayed.isAnsweredBy(from, sequence);
            if (answered) {
                relayed.report(true, out);
            }
            return answered;
        });
    }

    /**
     * Reports missing acks that are due and removes expired pings. Returns when the next tick is due, in seconds since
     * 1970; infinity if no ping is pending.
     */
    double tick(double now, Outbox out) {
        double next = Double.POSITIVE_INFINITY;
        relayedPings.removeIf(relayed -> now >= relayed.expiresAt);
        for (RelayedPing relayed : relayedPings) {
            if (now >= relayed.negativeResultAt) {
                relayed.report(false, out);
                relayed.negativeResultAt = Double.POSITIVE_INFINITY;
            }
            next = Math.min(next, Math.min(relayed.negativeResultAt, relayed.expiresAt));
        }
        return next;
    }
}
