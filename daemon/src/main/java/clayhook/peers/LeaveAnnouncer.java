package clayhook.peers;

import clayhook.fleet.Outbox;
import clayhook.fleet.ProtocolHandler;
import clayhook.fleet.members.Membership;

/** Announces to the peers that this router leaves, once that is requested. Confined to the gossip thread. */
final class LeaveAnnouncer implements ProtocolHandler {
    private final StopRequest stopRequest;
    private final Membership membership;
    private final StateBridge bridge;
    private boolean announced;

    LeaveAnnouncer(StopRequest stopRequest, Membership membership, StateBridge bridge) {
        this.stopRequest = stopRequest;
        this.membership = membership;
        this.bridge = bridge;
    }

    @Override
    public double tick(double now, Outbox out) {
        if (stopRequest.isLeaving() && !announced) {
            announced = true;
            bridge.publishOnNextTick();
            membership.leave(now, out);
        }
        return Double.POSITIVE_INFINITY;
    }
}
