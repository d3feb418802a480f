package clayhook.fleet.members;

import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;

/** Measures the clocks of other members and reports those that differ by more than the bound. Not thread-safe. */
final class ClockMonitor {
    /** Between two pings out of turn to a member whose clock seems to be out of bound. */
    private static final double PING_INTERVAL_SECONDS = 5;
    /**
     * Share of the bound below which a clock has recovered; keeps a clock close to the bound from being reported over
     * and over.
     */
    private static final double RECOVERY_FACTOR = 0.8;
    /**
     * Share of the bound by which the time of a ping may be off, delay included, before the clock is measured out of
     * turn.
     */
    private static final double SUSPICIOUS_FACTOR = 0.5;

    private final double maxClockSkew;
    private final MembershipTable table;
    private final MessageSender sender;
    private final MembershipListener listener;

    ClockMonitor(
            MembershipSettings settings, MembershipTable table, MessageSender sender, MembershipListener listener) {
        maxClockSkew = settings.maxClockSkew();
        this.table = table;
        this.sender = sender;
        this.listener = listener;
    }

    /**
     * Pings a member out of turn whose ping hints at a clock out of bound. A ping alone cannot tell the offset from the
     * delay; the ack that it causes can.
     */
    void onPing(Peer from, MembershipMessage.Ping ping, double now, Outbox out) {
        MemberRecord known = table.find(from.member());
        if (known == null || now - known.clockPingedAt < PING_INTERVAL_SECONDS) {
            return;
        }
        double offset = known.clockSkew.offset();
        double expectedOffset = Double.isNaN(offset) ? 0 : offset;
        if (Math.abs(ping.sentAt() - now - expectedOffset) > maxClockSkew * SUSPICIOUS_FACTOR) {
            known.clockPingedAt = now;
            sender.sendPing(from.address(), null, sender.nextSequence(), now, out);
        }
    }

    /** Measures the clock of a member by an ack. */
    void onAck(Member from, MembershipMessage.Ack ack, double now) {
        MemberRecord known = table.find(from);
        if (known == null) {
            return;
        }
        known.clockSkew.addMeasurement(ack.sentAt(), ack.receivedAt(), now);
        double difference = Math.abs(known.clockSkew.offset());
        if (!known.clockSkewed && difference - known.clockSkew.errorBound(now) > maxClockSkew) {
            known.clockSkewed = true;
            listener.onClockSkewed(known.peer(), known.clockSkew.offset(), now);
        } else if (known.clockSkewed && difference < RECOVERY_FACTOR * maxClockSkew) {
            known.clockSkewed = false;
            listener.onClockRecovered(known.peer(), known.clockSkew.offset(), now);
        }
    }
}
