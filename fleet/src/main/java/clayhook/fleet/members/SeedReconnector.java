package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Looks again and again, ever more slowly, at seeds that nobody answers from and at members that are gone: so the sides
 * of a cut find each other.
 */
final class SeedReconnector {
    /** Seeds asked at a time while this router knows no member. */
    private static final int MAX_SEEDS_PER_ROUND = 8;
    /** Of those that are gone, asked at a time: most of them may be dead. */
    private static final int DEAD_MEMBERS_PER_ROUND = 3;

    private static final double BACKOFF_MULTIPLIER = 1.5;

    private static final class SeedState {
        final Address address;
        long sequence = -1;
        /** Null until one has answered from there. */
        Member member;

        SeedState(Address address) {
            this.address = address;
        }
    }

    private final MembershipSettings settings;
    private final MembershipTable table;
    private final MessageSender sender;
    private final SplittableRandom random;
    /** As the operator's file has them. */
    private final List<SeedState> seeds = new ArrayList<>();

    private double retryInterval;
    private double nextRoundAt = Double.NEGATIVE_INFINITY;

    SeedReconnector(
            MembershipSettings settings,
            List<Address> seeds,
            MembershipTable register,
            MessageSender voice,
            SplittableRandom chance) {
        this.settings = settings;
        this.table = register;
        this.sender = voice;
        this.random = chance;
        addSeeds(seeds);
    }

    /** Looks at these too, at the next turn; none is ever taken back. */
    void addSeeds(List<Address> more) {
        more.stream()
                .distinct()
                .filter(seed -> !seed.equals(sender.ownClaim().peer().address())
                        && seeds.stream().noneMatch(known -> known.address.equals(seed)))
                .forEach(seed -> seeds.add(new SeedState(seed)));
        retryInterval = settings.reconnectInterval();
        nextRoundAt = Double.NEGATIVE_INFINITY;
    }

    void onAck(Member by, long sequence) {
        for (SeedState seed : seeds) {
            if (seed.sequence == sequence) {
                seed.member = by;
            }
        }
    }

    /** One is gone that may only be cut off. */
    void onMemberDead(double now) {
        retryInterval = settings.reconnectInterval();
        nextRoundAt = Math.min(nextRoundAt, now + jittered(retryInterval));
    }

    private double jittered(double time) {
        return time * (0.75 + random.nextDouble() / 2);
    }

    double tick(double now, Outbox out) {
        if (now < nextRoundAt) {
            return nextRoundAt;
        }
        List<SeedState> silent = seeds.stream()
                .filter(seed -> seed.member == null
                        || table.find(seed.member) == null
                        || !table.find(seed.member).isLive())
                .toList();
        int doors = Math.min(silent.size(), table.liveCount() == 0 ? MAX_SEEDS_PER_ROUND : 1);
        for (int i = 0, from = random.nextInt(1 + silent.size()); i < doors; i++) {
            pingSeed(silent.get((from + i) % silent.size()), now, out);
        }
        for (MemberRecord gone : table.randomDeadMembers(DEAD_MEMBERS_PER_ROUND)) {
            sender.sendPing(gone.peer().address(), gone, sender.nextSequence(), now, out);
        }
        nextRoundAt = now + jittered(retryInterval);
        retryInterval = Math.min(settings.maxReconnectInterval(), retryInterval * BACKOFF_MULTIPLIER);
        return nextRoundAt;
    }

    private void pingSeed(SeedState seed, double now, Outbox out) {
        seed.sequence = sender.nextSequence();
        sender.sendPing(seed.address, null, seed.sequence, now, out);
    }
}
