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
 * The roster of one router, kept by probes and gossip: SWIM (Das, Gupta, Motivala 2002) with the care of Lifeguard
 * (Dadgar, Phillips, Currey 2017). Times are seconds since 1970 on one clock that never goes back while it runs, though
 * it may be off. For one thread.
 */
public final class Membership implements ProtocolHandler, MembershipView {
    /** Hears what changes in the roster, after it has changed; what it does may read the roster. */
    public interface MembershipListener {
        /** A life that was not known, or came back after it was forgotten. */
        default void onJoined(Peer member, double now) {}

        /** It does not answer, say that many routers, counted up to four; heard again as more agree. */
        default void onSuspected(Peer member, int accusers, double now) {}

        /** It was suspected or gone, and has spoken up. */
        default void onAlive(Peer member, double now) {}

        default void onDead(Peer member, double now) {}

        default void onLeft(Peer member, double now) {}

        /**
         * Two processes run under one name; the first one counts. Where the second is this router itself, others leave
         * it out.
         */
        default void onDuplicateName(Peer counts, Peer other, double now) {}

        /** @param ahead seconds by which its clock is ahead of this one's, beyond the bound */
        default void onClockSkewed(Peer member, double ahead, double now) {}

        default void onClockRecovered(Peer member, double ahead, double now) {}
    }

    /** Seconds; who was heard that lately is not gone because another router says so, but is asked. */
    private static final double RECENT_CONTACT_SECONDS = 1;
    /**
     * Seconds after a life began to be known; an older one of its name that speaks later still runs, and was no late
     * packet.
     */
    private static final double DUPLICATE_NAME_GRACE_SECONDS = 3;
    /** Seconds between two looks at a clock that seems to be off, beside the usual probes. */
    private static final double CLOCK_PING_INTERVAL_SECONDS = 5;
    /** Of the bound: a clock that was off is fine again below it, so that one at the bound is not told for ever. */
    private static final double CLOCK_RECOVERY_FACTOR = 0.8;
    /** Seconds between two sweeps for what was remembered long enough. */
    private static final double CLEANUP_INTERVAL_SECONDS = 10;

    private final MembershipSettings settings;
    private final Peer self;
    private final MembershipListener listener;
    private final MembershipTable table;
    private final BroadcastQueue broadcasts = new BroadcastQueue();
    private final LocalHealth localHealth;
    private final MessageSender sender;
    private final FailureDetector failureDetector;
    private final SuspicionTimers suspicionTimers;
    private final SeedReconnector seedReconnector;
    private final MembershipSync sync;
    private final double startedAt;
    private double nextCleanupAt;
    /** Something was heard that others are to be told. */
    private boolean workPending;
    /** The other life of this router's own name that was told last. */
    private Peer reportedOwnDuplicate;

    /**
     * @param seeds routers that are asked first, and whenever none answers from there; this one itself may be among
     *     them
     * @param seed of all chance in it
     */
    public Membership(
            MembershipSettings settings,
            Peer self,
            List<Address> seeds,
            long seed,
            double now,
            MembershipListener listener) {
        this.settings = settings;
        this.self = self;
        this.listener = listener;
        var chance = new SplittableRandom(seed);
        table = new MembershipTable(self.member().name(), settings.maxNames(), chance.split());
        localHealth = new LocalHealth(settings);
        sender = new MessageSender(self, settings, table, broadcasts, chance.split());
        failureDetector = new FailureDetector(
                settings,
                table,
                sender,
                localHealth,
                chance.split(),
                now,
                (claim, at) -> mergeClaim(claim, at, true, at));
        suspicionTimers =
                new SuspicionTimers(settings, table, localHealth, (claim, at) -> mergeClaim(claim, at, true, at));
        seedReconnector = new SeedReconnector(settings, seeds, table, sender, chance.split());
        sync = new MembershipSync(table, now);
        startedAt = now;
        nextCleanupAt = now + CLEANUP_INTERVAL_SECONDS;
        broadcasts.enqueue(sender.ownClaim(), now);
    }

    @Override
    public Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return MembershipMessage.READERS;
    }

    @Override
    public void onMessage(Peer from, Message part, double now, Outbox out) {
        if (from.member().equals(self.member())) {
            return; // a seed of ours that is ourselves
        }
        checkForStall(now);
        recordContact(from.member(), now);
        if (part instanceof MembershipMessage.Ping probe) {
            onSender(from, new Peer(from.member(), probe.address()), probe.refutationCount(), now, out);
            sender.sendAck(from.address(), probe, now, out);
            sync.onDigest(from.address(), probe.digest(), now, out);
            pingIfClockSuspicious(from, probe, now, out);
        } else if (part instanceof MembershipMessage.Ack ack) {
            failureDetector.onAck(from.member(), ack.sequence(), out);
            seedReconnector.onAck(from.member(), ack.sequence());
            onSender(from, new Peer(from.member(), ack.address()), ack.refutationCount(), now, out);
            sync.onDigest(from.address(), ack.digest(), now, out);
            measureClock(from.member(), ack, now);
        } else if (part instanceof MembershipMessage.PingRequest errand) {
            failureDetector.onPingRequest(from.address(), errand, now, out);
        } else if (part instanceof MembershipMessage.PingRequestResult done) {
            failureDetector.onPingRequestResult(done);
        } else if (part instanceof MembershipMessage.ClaimBroadcast news) {
            news.claims().forEach(claim -> applyClaim(from, claim, now, true, now, out));
        } else if (part instanceof MembershipMessage.SyncRequest ask) {
            sync.respond(from.address(), ask, now, out);
        } else if (part instanceof MembershipMessage.SyncPage page) {
            page.claims().forEach(aged -> applyClaim(from, aged.claim(), now - aged.ageSeconds(), false, now, out));
        }
        if (workPending) {
            runDueTasks(now, out);
        }
    }

    @Override
    public double tick(double now, Outbox out) {
        checkForStall(now);
        return localHealth.expectTickAt(Math.max(now, runDueTasks(now, out)));
    }

    private double runDueTasks(double now, Outbox out) {
        workPending = false;
        if (now >= nextCleanupAt) {
            nextCleanupAt = now + CLEANUP_INTERVAL_SECONDS;
            table.removeDeadBefore(now - settings.deadMemberRetention());
            table.setOwnClaim(sender.ownClaim());
        }
        double next = nextCleanupAt;
        if (!sender.hasLeft()) {
            next = Math.min(next, failureDetector.tick(now, out));
            next = Math.min(next, suspicionTimers.tick(now));
            next = Math.min(next, seedReconnector.tick(now, out));
        }
        return Math.min(next, sender.gossip(now, out));
    }

    /** Guards against a stand of this router's own: silence while it stood was its own. */
    private void checkForStall(double now) {
        if (localHealth.detectStall(now)) {
            failureDetector.onStall();
            suspicionTimers.onStall(now);
        }
    }

    /** Tells the others that this router goes; final for this life. Turns are still wanted for a second or so. */
    public void leave(double now, Outbox out) {
        sender.leave(now, out);
    }

    /** The operator has named further seeds. */
    public void addSeeds(List<Address> seeds) {
        seedReconnector.addSeeds(seeds);
    }

    /** Something came from that very member, by whatever machine's part. */
    public void recordContact(Member member, double now) {
        MemberRecord known = table.find(member);
        if (known != null) {
            known.lastHeardAt = Math.max(known.lastHeardAt, now);
        }
    }

    /** Who speaks is a member; whom this router holds to be something else is told what, and contradicts if it can. */
    private void onSender(Peer from, Peer speaker, long counter, double now, Outbox out) {
        applyClaim(from, MemberClaim.alive(speaker, counter), now, true, now, out);
        recordContact(from.member(), now);
        boolean own = speaker.member().name().equals(self.member().name());
        MemberRecord known = table.find(speaker.member().name());
        if (known == null && own) {
            sender.sendClaim(from.address(), sender.ownClaim(), out);
            if (now - startedAt > DUPLICATE_NAME_GRACE_SECONDS) {
                reportOwnDuplicate(self, speaker, now);
            }
        } else if (known != null
                && !(known.isIncarnation(speaker.member()) && known.claim.status() == MemberStatus.ALIVE)) {
            sender.sendClaim(from.address(), known.claim, out);
            if (MemberClaim.INCARNATION_ORDER.compare(known.peer(), speaker) > 0
                    && now - known.knownSince > DUPLICATE_NAME_GRACE_SECONDS
                    && !speaker.equals(known.reportedDuplicate)) {
                known.reportedDuplicate = speaker;
                listener.onDuplicateName(known.peer(), speaker, now);
            }
        }
    }

    private void reportOwnDuplicate(Peer counts, Peer other, double now) {
        if (!other.equals(reportedOwnDuplicate)) {
            reportedOwnDuplicate = other;
            listener.onDuplicateName(counts, other, now);
        }
    }

    /**
     * @param since when that standing began, as far as is known
     * @param fresh it is news, to be told on; else an old word that came to bring rosters level
     */
    private void applyClaim(Peer from, MemberClaim claim, double since, boolean fresh, double now, Outbox out) {
        if (claim.name().equals(self.member().name())) {
            applyClaimOnOwnName(from, claim, now, out);
            return;
        }
        MemberRecord known = table.find(claim.name());
        boolean changes = known == null || claim.supersedes(known.claim) || claim.status() == MemberStatus.SUSPECT;
        if (changes
                && known != null
                && known.isLive()
                && claim.status() == MemberStatus.DEAD
                && known.peer().equals(claim.peer())
                && (!fresh || now - known.lastHeardAt < RECENT_CONTACT_SECONDS)) {
            // The other side of a cut that is over: it would take half the fleet away for a moment. The accused can
            // contradict,
            // and where this router only missed the news its own look finds the accused silent.
            sender.sendClaim(known.peer().address(), claim, out);
            if (known.claim.status() == MemberStatus.ALIVE) {
                failureDetector.probeNow(known, now);
                workPending = true;
            }
        } else if (changes) {
            mergeClaim(
                    !fresh && claim.status() == MemberStatus.SUSPECT
                            ? MemberClaim.alive(claim.peer(), claim.refutationCount())
                            : claim,
                    since,
                    fresh,
                    now);
        }
    }

    private void applyClaimOnOwnName(Peer from, MemberClaim claim, double now, Outbox out) {
        int order = MemberClaim.INCARNATION_ORDER.compare(claim.peer(), self);
        if (order > 0) {
            mergeClaim(claim, now, true, now);
            table.setOwnClaim(sender.ownClaim());
            reportOwnDuplicate(claim.peer(), self, now);
        } else if (order == 0 && sender.refuteIfNeeded(claim, now)) {
            localHealth.degrade();
            workPending = true;
            sender.sendClaim(from.address(), sender.ownClaim(), out);
        }
    }

    private void mergeClaim(MemberClaim claim, double since, boolean fresh, double now) {
        MemberRecord before = table.find(claim.name());
        MemberClaim held = before == null ? null : before.claim;
        MemberRecord known = table.merge(claim, since, now);
        if (known == null || known.claim.equals(held)) {
            return;
        }
        if (fresh || sync.isSettled()) {
            broadcasts.enqueue(known.claim, now);
            workPending = true;
        }
        if (!fresh) {
            sync.requestSoon(now);
        }
        suspicionTimers.onClaimChanged(known, held, now);
        scheduleFollowUp(known, held, now);
        notifyListener(known, held, now);
    }

    private void scheduleFollowUp(MemberRecord known, MemberClaim held, double now) {
        MemberStatus standing = known.claim.status();
        if (standing == MemberStatus.SUSPECT
                && !known.claim
                        .accusers()
                        .contains(MemberClaim.accuserHash(self.member().name()))) {
            failureDetector.maybeConfirm(known, now);
        } else if (standing == MemberStatus.DEAD) {
            seedReconnector.onMemberDead(now);
        } else if (standing == MemberStatus.ALIVE && held != null && held.status() == MemberStatus.DEAD) {
            sync.requestSoon(now);
        }
    }

    private void notifyListener(MemberRecord known, MemberClaim held, double now) {
        Peer peer = known.peer();
        boolean sameLife = held != null && held.peer().equals(peer);
        if (held != null && !sameLife && held.peer().member().equals(peer.member())) {
            listener.onDuplicateName(peer, held.peer(), now);
        }
        MemberStatus was = sameLife ? held.status() : null;
        MemberStatus is = known.claim.status();
        boolean lived = held != null && held.isLive();
        if (is.isLive() && was == null) {
            listener.onJoined(peer, now);
        } else if (is.isLive()
                && (was == MemberStatus.DEAD || was == MemberStatus.SUSPECT && is == MemberStatus.ALIVE)) {
            listener.onAlive(peer, now);
        }
        if (is == MemberStatus.SUSPECT) {
            listener.onSuspected(peer, known.claim.accusers().size(), now);
        } else if (is == MemberStatus.DEAD && lived) {
            listener.onDead(peer, now);
        } else if (is == MemberStatus.LEFT && held != null && was != MemberStatus.LEFT) {
            listener.onLeft(peer, now);
        }
    }

    /** A probe's one way tells no delay; but when it hints at a clock that is off, the clock is asked for. */
    private void pingIfClockSuspicious(Peer from, MembershipMessage.Ping probe, double now, Outbox out) {
        MemberRecord known = table.find(from.member());
        if (known == null || now - known.clockPingedAt < CLOCK_PING_INTERVAL_SECONDS) {
            return;
        }
        double ahead = known.clockSkew.offset();
        if (Math.abs(probe.sentAt() - now - (Double.isNaN(ahead) ? 0 : ahead)) > settings.maxClockSkew() / 2) {
            known.clockPingedAt = now;
            sender.sendPing(from.address(), null, sender.nextSequence(), now, out);
        }
    }

    private void measureClock(Member by, MembershipMessage.Ack ack, double now) {
        MemberRecord known = table.find(by);
        if (known == null) {
            return;
        }
        known.clockSkew.addMeasurement(ack.sentAt(), ack.receivedAt(), now);
        double off = Math.abs(known.clockSkew.offset());
        if (!known.clockSkewed && off - known.clockSkew.errorBound(now) > settings.maxClockSkew()) {
            known.clockSkewed = true;
            listener.onClockSkewed(known.peer(), known.clockSkew.offset(), now);
        } else if (known.clockSkewed && off < CLOCK_RECOVERY_FACTOR * settings.maxClockSkew()) {
            known.clockSkewed = false;
            listener.onClockRecovered(known.peer(), known.clockSkew.offset(), now);
        }
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
        MemberRecord known = table.find(member);
        return known != null && known.isLive();
    }

    @Override
    public double lastHeardAt(Member member) {
        MemberRecord known = table.find(member);
        return known == null ? Double.NEGATIVE_INFINITY : known.lastHeardAt;
    }

    @Override
    public double clockOffset(Member member) {
        MemberRecord known = table.find(member);
        return known == null ? Double.NaN : known.clockSkew.offset();
    }

    @Override
    public boolean clockWithinBound(Member member) {
        MemberRecord known = table.find(member);
        return known == null || !known.clockSkewed;
    }

    @Override
    public boolean recentlyStalled(double now) {
        return localHealth.recentlyStalled(now);
    }

    /** A younger life of this router's own name is known: others count that one. */
    public boolean isSuperseded() {
        return table.find(self.member().name()) != null;
    }

    /** Claims on further names that were refused, since the start. */
    public long rejectedNames() {
        return table.rejectedNames();
    }
}
