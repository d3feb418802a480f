package clayhook.lab.sharing;

import clayhook.fleet.Address;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Peer;
import clayhook.fleet.ProtocolHandler;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.members.Membership;
import clayhook.fleet.members.MembershipListener;
import clayhook.fleet.members.MembershipSettings;
import clayhook.fleet.state.ReplicatedState;
import clayhook.fleet.state.StateSettings;
import java.util.List;

/**
 * What one life of a router runs.
 *
 * @param machines in the order of their turns
 */
public record RouterIncarnation(
        MembershipView roster, ReplicatedStore shared, List<? extends ProtocolHandler> machines) {

    /** Begins one; {@code now} is told by the router's own clock. */
    public interface Factory {
        RouterIncarnation begin(Peer self, List<Address> seeds, long seed, double now);
    }

    /** The roster and the copy as routers run them, with nothing beside. */
    public static Factory sharing(List<ReplicatedType<?>> kinds) {
        return (self, seeds, seed, now) -> {
            var members =
                    new Membership(MembershipSettings.DEFAULT, self, seeds, seed, now, new MembershipListener() {});
            var state = new ReplicatedState(members, kinds, StateSettings.DEFAULT, seed + 1, now);
            return new RouterIncarnation(members, state, List.of(members, state));
        };
    }
}
