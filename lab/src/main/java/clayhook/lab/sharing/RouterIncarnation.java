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
 * The protocol state of one incarnation of a router.
 *
 * @param handlers protocol handlers in the order in which they are ticked
 */
public record RouterIncarnation(
        MembershipView membership, ReplicatedStore store, List<? extends ProtocolHandler> handlers) {

    /** Creates incarnations; {@code now} is the time of the router's own clock. */
    public interface Factory {
        RouterIncarnation create(Peer self, List<Address> seeds, long seed, double now);
    }

    /** Creates incarnations with only the production membership and replicated state. */
    public static Factory sharing(List<ReplicatedType<?>> types) {
        return (self, seeds, seed, now) -> {
            var membership =
                    new Membership(MembershipSettings.DEFAULT, self, seeds, seed, now, new MembershipListener() {});
            var state = new ReplicatedState(membership, types, StateSettings.DEFAULT, seed + 1, now);
            return new RouterIncarnation(membership, state, List.of(membership, state));
        };
    }
}
