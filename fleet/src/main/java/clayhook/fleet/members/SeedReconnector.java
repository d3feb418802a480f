package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Pings unresponsive seeds and dead members with backoff for as long as this router runs. A new router joins the fleet
 * through these pings, and the sides of a partition reconnect through them. Not thread-safe.
 */
final class SeedReconnector {
    /** Maximum number of seeds pinged in one round while no live member is known. */
    private static final int MAX_SEEDS_PER_ROUND = 8;
    /** Maximum number of dead members pinged in one round. It is small, since most of them may be down permanently. */
    private static final int DEAD_MEMBERS_PER_ROUND = 3;

    private static final double BACKOFF_MULTIPLIER = 1.5;
    /** Fraction of an interval over which its random length is distributed, centred on the interval. */
    private static final double JITTER = 0.5;

    private static final class SeedState {
        final Address address;
        /** Sequence number of the last ping sent to this address; -1 if none was sent. */
        long sequence = -1;
        /** The last member that answered a ping to this address; null if none did. */
        Member member;

        SeedState(Address address) {
            this.address = address;
        }
    }

    private final MembershipSettings settings;
    private final MembershipTable table;
    private final MessageSender sender;
    private final SplittableRandom random;
    /** Seeds in the order in which they were added, which is that of the operator's configuration. */
    private final List<SeedState> seeds = new ArrayList<>();

    private double retryInterval;
    private double nextRoundAt = Double.NEGATIVE_INFINITY;

    SeedReconnector(
            MembershipSettings settings,
            List<Address> seeds,
            MembershipTable table,
            MessageSender sender,
            SplittableRandom random) {
        this.settings = settings;
        this.table = table;
        this.sender = sender;
        this.random = random;
        addSeeds(seeds);
    }

    /**
     * Adds seeds, which are eligible from the next tick on. Ignores this router's own address. Seeds are never removed.
     */
    void addSeeds(List<Address> added) {
        added.stream()
                .distinct()
                .filter(address -> !address.equals(sender.ownClaim().peer().address()) && !isSeed(address))
                .forEach(address -> seeds.add(new SeedState(address)));
        retryInterval = settings.reconnectInterval();
        nextRoundAt = Double.NEGATIVE_INFINITY;
    }

    private boolean isSeed(Address address) {
        return seeds.stream().anyMatch(seed -> seed.address.equals(address));
    }

    /** Records an ack from a member for the ping with this sequence number. */
    void onAck(Member from, long sequence) {
        for (SeedState seed : seeds) {
            if (seed.sequence == sequence) {
                seed.member = from;
            }
        }
    }

    /** Resets the backoff, since a member that was declared dead may only be partitioned from this router. */
    void onMemberDead(double now) {
        retryInterval = settings.reconnectInterval();
        nextRoundAt = Math.min(nextRoundAt, now + jittered(retryInterval));
    }

    private double jittered(double seconds) {
        return seconds * (1 - JITTER / 2 + random.nextDouble() * JITTER);
    }

    /**
     * Pings unresponsive seeds and dead members if a round is due. Returns when the next round is due, in seconds since
     * 1970.
     */
    double tick(double now, Outbox out) {
        if (now < nextRoundAt) {
            return nextRoundAt;
        }
        pingSeeds(now, out);
        for (MemberRecord dead : table.randomDeadMembers(DEAD_MEMBERS_PER_ROUND)) {
            sender.sendPing(dead.peer().address(), dead, sender.nextSequence(), now, out);
        }
        nextRoundAt = now + jittered(retryInterval);
        retryInterval = Math.min(settings.maxReconnectInterval(), retryInterval * BACKOFF_MULTIPLIER);
        return nextRoundAt;
    }

    private void pingSeeds(double now, Outbox out) {
        List<SeedState> unresponsive =
                seeds.stream().filter(seed -> !isLive(seed.member)).toList();
        int count = Math.min(unresponsive.size(), table.liveCount() == 0 ? MAX_SEEDS_PER_ROUND : 1);
        int first = random.nextInt(1 + unresponsive.size());
        for (int i = 0; i < count; i++) {
            pingSeed(unresponsive.get((first + i) % unresponsive.size()), now, out);
        }
    }

    private boolean isLive(Member member) {
        MemberRecord record = member == null ? null : table.find(member);
        return record != null && record.isLive();
    }

    private void pingSeed(SeedState seed, double now, Outbox out) {
        seed.sequence = sender.nextSequence();
        sender.sendPing(seed.address, null, seed.sequence, now, out);
    }
}
