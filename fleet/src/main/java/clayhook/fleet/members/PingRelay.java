package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import java.util.ArrayList;
import java.util.List;

/** Pings members on behalf of others that cannot reach them, and reports the result. Not thread-safe. */
final class PingRelay {
    /** Further requests are ignored. */
    private static final int MAX_RELAYED_PINGS = 1024;
    /**
     * Share of the requester's retry delay after which the lack of an answer is reported, so that the report is in time
     * even if the target's answer is not.
     */
    private static final double NEGATIVE_RESULT_FRACTION = 0.8;
    /** Probe intervals for which a late answer is still passed on. */
    private static final int LIFETIME_INTERVALS = 2;

    private static final class RelayedPing {
        final Address requester;
        final MembershipMessage.PingRequest request;
        final long sequence;
        final double expiresAt;
        /** Infinity once the lack of an answer was reported. */
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

    /** Pings the target of a request at once. */
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

    /** Passes an answer on to the member that asked for the ping. */
    void onAck(Member from, long sequence, Outbox out) {
        relayedPings.removeIf(relayed -> {
            boolean answered = relayed.isAnsweredBy(from, sequence);
            if (answered) {
                relayed.report(true, out);
            }
            return answered;
        });
    }

    /** Reports pings without an answer. Returns when the next tick is due. */
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
