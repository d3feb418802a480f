package clayhook.fleet.types;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Peer;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * A membership view with a fixed list of live members. The clocks of members named "ahead" and "off" are 3 s ahead, and
 * the clock of "off" is out of bound.
 */
record FixedMembershipView(Member selfMember, List<Peer> livePeers) implements MembershipView {
    static FixedMembershipView of(int self, Collection<Integer> live) {
        return new FixedMembershipView(
                member(self),
                live.stream()
                        .filter(other -> other != self)
                        .sorted()
                        .map(other -> peer(member(other)))
                        .toList());
    }

    static Member member(int number) {
        return new Member("r" + number, 1);
    }

    static Peer peer(Member member) {
        return new Peer(member, new Address("h", 1));
    }

    @Override
    public Peer self() {
        return peer(selfMember);
    }

    @Override
    public List<Member> possiblyServing(double now) {
        return livePeers.stream().map(Peer::member).toList();
    }

    @Override
    public boolean isLive(Member member) {
        return livePeers.stream().anyMatch(peer -> peer.member().equals(member));
    }

    @Override
    public double lastContactAt(Member member) {
        return Double.NEGATIVE_INFINITY;
    }

    @Override
    public double clockOffset(Member member) {
        return Set.of("ahead", "off").contains(member.name()) ? 3 : Double.NaN;
    }

    @Override
    public boolean clockWithinBound(Member member) {
        return !member.name().equals("off");
    }

    @Override
    public boolean recentlyStalled(double now) {
        return false;
    }
}
