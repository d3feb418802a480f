package clayhook.fleet.members;

import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;

/**
 * Measures the clock offsets of other members and reports members whose clock exceeds the clock skew bound. Not
 * thread-safe.
 */
final class ClockMonitor {
    /** Minimum interval between two additional pings to a member whose clock may exceed the bound. */
    private static final double PING_INTERVAL_SECONDS = 5;
    /**
     * Fraction of the bound below which a clock counts as recovered. The hysteresis prevents repeated reports of a
     * clock whose offset is close to the bound.
     */
    private static final double RECOVERY_FACTOR = 0.8;
    /**
     * Fraction of the bound. An additional ping measures a member's clock if the difference between send time and
     * receive time of its ping, network delay included, deviates from the expected offset by more than that.
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
     * Sends an additional ping to a member if the send time of its ping suggests that its clock exceeds the bound. A
     * received ping alone does not distinguish clock offset from network delay; the ack to the additional ping does.
     */
    void onPing(Peer from, MembershipMessage.Ping ping, double now, Outbox out) {
        MemberRecord record = table.find(from.member());
        if (record == null || now - record.clockPingedAt < PING_INTERVAL_SECONDS) {
            return;
        }
        double offset = record.clockSkew.offset();
        double expectedOffset = Double.isNaN(offset) ? 0 : offset;
        if (Math.abs(ping.sentAt() - now - expectedOffset) > maxClockSkew * SUSPICIOUS_FACTOR) {
            record.clockPingedAt = now;
            sender.sendPing(from.address(), null, sender.nextSequence(), now, out);
        }
    }

    /**
     * Updates the measured clock offset of a member from an ack, and reports when the clock exceeds the bound or has
     * recovered.
     */
    void onAck(Member from, MembershipMessage.Ack ack, double now) {
        MemberRecord record = table.find(from);
        if (record == null) {
            return;
        }
        record.clockSkew.addMeasurement(ack.sentAt(), ack.receivedAt(), now);
        double skew = Math.abs(record.clockSkew.offset());
        if (!record.clockSkewed && skew - record.clockSkew.errorBound(now) > maxClockSkew) {
            record.clockSkewed = true;
            listener.onClockSkewed(record.peer(), record.clockSkew.offset(), now);
        } else if (record.clockSkewed && skew < RECOVERY_FACTOR * maxClockSkew) {
            record.clockSkewed = false;
            listener.onClockRecovered(record.peer(), record.clockSkew.offset(), now);
        }
    }
}
