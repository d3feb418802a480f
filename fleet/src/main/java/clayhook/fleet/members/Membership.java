package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.FieldReader;
import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Message;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import clayhook.fleet.ProtocolHandler;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * The membership of the fleet as one router sees it, maintained by probes and gossip. Implements SWIM (Das, Gupta,
 * Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey 2017).
 *
 * <p>Times are seconds since 1970 on a clock that may be wrong, but does not go backwards while the process runs. Not
 * thread-safe: all methods must be called on the same thread, which also calls the listener.
 */
public final class Membership implements ProtocolHandler, MembershipView {
    /** Interval between two removals of dead and departed members whose retention has ended. */
    private static final double CLEANUP_INTERVAL_SECONDS = 10;

    private final MembershipSettings settings;
    private final Peer self;
    private final MembershipTable table;
    private final LocalHealth localHealth;
    private final MessageSender sender;
    private final FailureDetector failureDetector;
    private final PingRelay pingRelay;
    private final SuspicionTimers suspicionTimers;
    private final SeedReconnector seedReconnector;
    private final MembershipSync sync;
    private final ClockMonitor clockMonitor;
    private final ClaimProcessor claims;
    private double nextCleanupAt;

    /**
     * Creates a membership without other members.
     *
     * @param seeds the addresses of routers that are pinged at the start, and later whenever no live member is known
     *     there; this router's own address is ignored
     * @param randomSeed the seed of all random choices
     * @param now the current time in seconds since 1970
     */
    public Membership(
            MembershipSettings settings,
            Peer self,
            List<Address> seeds,
            long randomSeed,
            double now,
            MembershipListener listener) {
        this.settings = settings;
        this.self = self;
        // The order in which the generator is split determines all random choices that result from a seed.
        var random = new SplittableRandom(randomSeed);
        var broadcasts = new BroadcastQueue();
        table = new MembershipTable(self.member().name(), settings.maxNames(), random.split());
        localHealth = new LocalHealth(settings);
        sender = new MessageSender(self, settings, table, broadcasts, random.split());
        failureDetector =
                new FailureDetector(settings, table, sender, localHealth, random.split(), now, this::applyLocalClaim);
        pingRelay = new PingRelay(settings, table, sender);
        suspicionTimers = new SuspicionTimers(settings, table, localHealth, this::applyLocalClaim);
        seedReconnector = new SeedReconnector(settings, seeds, table, sender, random.split());
        sync = new MembershipSync(table, now);
        clockMonitor = new ClockMonitor(settings, table, sender, listener);
        claims = new ClaimProcessor(
                self,
                table,
                broadcasts,
                sender,
                localHealth,
                failureDetector,
                suspicionTimers,
                seedReconnector,
                sync,
                new MembershipEvents(self, listener, now));
        nextCleanupAt = now + CLEANUP_INTERVAL_SECONDS;
        broadcasts.enqueue(sender.ownClaim(), now);
    }

    private void applyLocalClaim(MemberClaim claim, double now) {
        claims.applyLocal(claim, now);
    }

    @Override
    public Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return MembershipMessage.READERS;
    }

    @Override
    public void onMessage(Peer from, Message message, double now, Outbox out) {
        if (from.member().equals(self.member())) {
            return; // one of the seeds leads to this router itself
        }
        checkForStall(now);
        recordContact(from.member(), now);
        if (message instanceof MembershipMessage membershipMessage) {
            dispatch(from, membershipMessage, now, out);
        }
        if (claims.isWorkPending()) {
            runDueTasks(now, out);
        }
    }

    private void dispatch(Peer from, MembershipMessage message, double now, Outbox out) {
        if (message instanceof MembershipMessage.Ping ping) {
            onPing(from, ping, now, out);
        } else if (message instanceof MembershipMessage.Ack ack) {
            onAck(from, ack, now, out);
        } else if (message instanceof MembershipMessage.PingRequest request) {
            pingRelay.onPingRequest(from.address(), request, now, out);
        } else if (message instanceof MembershipMessage.PingRequestResult result) {
            failureDetector.onPingRequestResult(result);
        } else if (message instanceof MembershipMessage.ClaimBroadcast broadcast) {
            broadcast.claims().forEach(claim -> claims.applyBroadcast(from, claim, now, out));
        } else if (message instanceof MembershipMessage.SyncRequest request) {
            sync.respond(from.address(), request, now, out);
        } else if (message instanceof MembershipMessage.SyncPage page) {
            page.claims().forEach(aged -> claims.applySynced(from, aged.claim(), now - aged.ageSeconds(), now, out));
        }
    }

    private void onPing(Peer from, MembershipMessage.Ping ping, double now, Outbox out) {
        var advertised = new Peer(from.member(), ping.address());
        claims.applySender(from, advertised, ping.refutationCount(), now, out);
        sender.sendAck(from.address(), ping, now, out);
        sync.onDigest(from.address(), ping.digest(), now, out);
        clockMonitor.onPing(from, ping, now, out);
    }

    private void onAck(Peer from, MembershipMessage.Ack ack, double now, Outbox out) {
        var advertised = new Peer(from.member(), ack.address());
        failureDetector.onAck(from.member(), ack.sequence());
        pingRelay.onAck(from.member(), ack.sequence(), out);
        seedReconnector.onAck(from.member(), ack.sequence());
        claims.applySender(from, advertised, ack.refutationCount(), now, out);
        sync.onDigest(from.address(), ack.digest(), now, out);
        clockMonitor.onAck(from.member(), ack, now);
    }

    @Override
    public double tick(double now, Outbox out) {
        checkForStall(now);
        return localHealth.expectTickAt(Math.max(now, runDueTasks(now, out)));
    }

    private double runDueTasks(double now, Outbox out) {
        claims.clearWorkPending();
        if (now >= nextCleanupAt) {
            cleanUp(now);
        }
        double next = nextCleanupAt;
        if (!sender.hasLeft()) {
            next = Math.min(next, failureDetector.tick(now, out));
            next = Math.min(next, pingRelay.tick(now, out));
            next = Math.min(next, suspicionTimers.tick(now));
            next = Math.min(next, seedReconnector.tick(now, out));
        }
        return Math.min(next, sender.gossip(now, out));
    }

    private void cleanUp(double now) {
        nextCleanupAt = now + CLEANUP_INTERVAL_SECONDS;
        table.removeDeadBefore(now - settings.deadMemberRetention());
        table.setOwnClaim(sender.ownClaim()); // counts again after a later incarnation of this name was removed
    }

    /**
     * Cancels probes and restarts suspicion timers if this process was stalled, since messages of other members may
     * have been missed during the stall.
     */
    private void checkForStall(double now) {
        if (localHealth.detectStall(now)) {
            failureDetector.onStall();
            suspicionTimers.onStall(now);
        }
    }

    /**
     * Announces that this router leaves the fleet, which is final for its incarnation. The caller must continue to tick
     * for one second so that the announcement spreads.
     */
    public void leave(double now, Outbox out) {
        sender.leave(now, out);
    }

    /** Adds seeds to those that were passed to the constructor. */
    public void addSeeds(List<Address> seeds) {
        seedReconnector.addSeeds(seeds);
    }

    /** Records that a message of any protocol from exactly this incarnation was received. */
    public void recordContact(Member member, double now) {
        claims.recordContact(member, now);
    }

    @Override
    public Peer self() {
        return self;
    }

    @Override
    public List<Peer> livePeers() {
        return table.livePeers();
    }

    @Override
    public List<Member> possiblyServing(double now) {
        return table.possiblyServing(now - settings.servingGracePeriod());
    }

    @Override
    public boolean isLive(Member member) {
        MemberRecord record = table.find(member);
        return record != null && record.isLive();
    }

    @Override
    public double lastContactAt(Member member) {
        MemberRecord record = table.find(member);
        return record == null ? Double.NEGATIVE_INFINITY : record.lastContactAt;
    }

    @Override
    public double clockOffset(Member member) {
        MemberRecord record = table.find(member);
        return record == null ? Double.NaN : record.clockSkew.offset();
    }

    @Override
    public boolean clockWithinBound(Member member) {
        MemberRecord record = table.find(member);
        return record == null || !record.clockSkewed;
    }

    @Override
    public boolean recentlyStalled(double now) {
        return localHealth.recentlyStalled(now);
    }

    /**
     * Returns whether a later incarnation with this router's name is known, which replaces this one at the other
     * members.
     */
    public boolean isSuperseded() {
        return table.find(self.member().name()) != null;
    }

    /** Returns the number of claims on new names that were rejected since the start because the table was full. */
    public long rejectedNames() {
        return table.rejectedNames();
    }
}
