package clayhook.peers;

import clayhook.fleet.Peer;
import clayhook.fleet.members.Membership;
import clayhook.log.Log;

/** Logs changes of the membership; at most one line a second of each kind. */
final class MembershipLogger implements Membership.MembershipListener {
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
    public void onDuplicateName(Peer counts, Peer other, double now) {
        Log.warn(
                "sharing twins",
                "sharing: two routers are called " + counts.member().name() + ", at " + counts.address() + " and at "
                        + other.address() + "; the first counts");
    }

    @Override
    public void onClockSkewed(Peer member, double ahead, double now) {
        Log.warn(
                "sharing clock",
                describe(member) + " has a clock that is " + toMilliseconds(ahead)
                        + " ms ahead; it is heard only for what needs no clock");
    }

    @Override
    public void onClockRecovered(Peer member, double ahead, double now) {
        Log.info(
                "sharing clock fine",
                describe(member) + " has a clock within the bound again, " + toMilliseconds(ahead) + " ms ahead");
    }

    private static long toMilliseconds(double seconds) {
        return Math.round(seconds * 1000);
    }
}
