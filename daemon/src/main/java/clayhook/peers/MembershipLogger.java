package clayhook.peers;

import clayhook.fleet.Peer;
import clayhook.fleet.members.MembershipListener;
import clayhook.log.Log;

/** Logs membership changes, at most one line per second of each kind. */
final class MembershipLogger implements MembershipListener {
    private static String describe(Peer peer) {
        return "sharing: " + peer.member().name() + " at " + peer.address();
    }

    @Override
    public void onJoined(Peer member, double now) {
        Log.info("sharing joined", describe(member) + " joined");
    }

    @Override
    public void onSuspected(Peer member, int accusers, double now) {
        if (accusers <= 1) {
            Log.info("sharing suspected", describe(member) + " does not answer");
        }
    }

    @Override
    public void onAlive(Peer member, double now) {
        Log.info("sharing alive", describe(member) + " answers again");
    }

    @Override
    public void onDead(Peer member, double now) {
        Log.warn("sharing gone", describe(member) + " is gone");
    }

    @Override
    public void onLeft(Peer member, double now) {
        Log.info("sharing left", describe(member) + " left");
    }

    @Override
    public void onDuplicateName(Peer active, Peer duplicate, double now) {
        Log.warn(
                "sharing duplicate name",
                "sharing: duplicate router name " + active.member().name() + ", at " + active.address() + " and at "
                        + duplicate.address() + "; the first is the member");
    }

    @Override
    public void onClockSkewed(Peer member, double offset, double now) {
        Log.warn(
                "sharing clock skewed",
                describe(member) + " has a clock that is " + toMilliseconds(offset)
                        + " ms ahead; values that depend on clocks are not accepted from it");
    }

    @Override
    public void onClockRecovered(Peer member, double offset, double now) {
        Log.info(
                "sharing clock recovered",
                describe(member) + " has a clock within the bound again, " + toMilliseconds(offset) + " ms ahead");
    }

    private static long toMilliseconds(double seconds) {
        return Math.round(seconds * 1000);
    }
}
