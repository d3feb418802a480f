package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.ProtocolHandler;
import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Message;
import clayhook.fleet.Peer;
import clayhook.fleet.FieldReader;
import clayhook.fleet.MembershipView;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;

/**
 * The roster of one router, kept by probes and gossip: SWIM (Das, Gupta, Motivala 2002) with the care of Lifeguard
 * (Dadgar, Phillips, Currey 2017). Times are seconds since 1970 on one clock that never goes back while it runs, though
 * it may be off. For one thread.
 */
public final class Members implements ProtocolHandler, MembershipView {
    /** Hears what changes in the roster, after it has changed; what it does may read the roster. */
    public interface Listener {
        /** A life that was not known, or came back after it was forgotten. */
        default void joined(Peer member, double now) {}

        /** It does not answer, say that many routers, counted up to four; heard again as more agree. */
        default void suspected(Peer member, int accusers, double now) {}

        /** It was suspected or gone, and has spoken up. */
        default void alive(Peer member, double now) {}

        default void gone(Peer member, double now) {}

        default void left(Peer member, double now) {}

        /**
         * Two processes run under one name; the first one counts. Where the second is this router itself, others leave
         * it out.
         */
        default void twins(Peer counts, Peer other, double now) {}

        /** @param ahead seconds by which its clock is ahead of this one's, beyond the bound */
        default void clockOff(Peer member, double ahead, double now) {}

        default void clockFine(Peer member, double ahead, double now) {}
    }

    /** Seconds; who was heard that lately is not gone because another router says so, but is asked. */
    private static final double JUST_HEARD = 1;
    /**
     * Seconds after a life began to be known; an older one of its name that speaks later still runs, and was no late
     * packet.
     */
    private static final double TWIN_AFTER = 3;
    /** Seconds between two looks at a clock that seems to be off, beside the usual probes. */
    private static final double CLOCK_AGAIN = 5;
    /** Of the bound: a clock that was off is fine again below it, so that one at the bound is not told for ever. */
    private static final double CLOCK_FINE = 0.8;
    /** Seconds between two sweeps for what was remembered long enough. */
    private static final double SWEEP = 10;

    private final MemberSettings settings;
    private final Peer self;
    private final Listener listener;
    private final Register register;
    private final Rumours rumours = new Rumours();
    private final Health health;
    private final Voice voice;
    private final Prober prober;
    private final Suspicions suspicions;
    private final Knocker knocker;
    private final Leveller leveller;
    private final double startedAt;
    private double sweepAt;
    /** Something was heard that others are to be told. */
    private boolean stirred;
    /** The other life of this router's own name that was told last. */
    private Peer ownTwin;

    /**
     * @param seeds routers that are asked first, and whenever none answers from there; this one itself may be among
     *     them
     * @param seed of all chance in it
     */
    public Members(MemberSettings settings, Peer self, List<Address> seeds, long seed, double now, Listener listener) {
        this.settings = settings;
        this.self = self;
        this.listener = listener;
        var chance = new SplittableRandom(seed);
        register = new Register(self.member().name(), settings.mostNames(), chance.split());
        health = new Health(settings);
        voice = new Voice(self, settings, register, rumours, chance.split());
        prober = new Prober(
                settings, register, voice, health, chance.split(), now, (claim, at) -> take(claim, at, true, at));
        suspicions = new Suspicions(settings, register, health, (claim, at) -> take(claim, at, true, at));
        knocker = new Knocker(settings, seeds, register, voice, chance.split());
        leveller = new Leveller(register, now);
        startedAt = now;
        sweepAt = now + SWEEP;
        rumours.tell(voice.own(), now);
    }

    @Override
    public Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return Word.READERS;
    }

    @Override
    public void onMessage(Peer from, Message part, double now, Outbox out) {
        if (from.member().equals(self.member())) {
            return; // a seed of ours that is ourselves
        }
        awake(now);
        contact(from.member(), now);
        if (part instanceof Word.Probe probe) {
            introduce(from, new Peer(from.member(), probe.address()), probe.counter(), now, out);
            voice.answer(from.address(), probe, now, out);
            leveller.compared(from.address(), probe.digest(), now, out);
            lookAtClock(from, probe, now, out);
        } else if (part instanceof Word.Ack ack) {
            prober.answered(from.member(), ack.sequence(), out);
            knocker.answered(from.member(), ack.sequence());
            introduce(from, new Peer(from.member(), ack.address()), ack.counter(), now, out);
            leveller.compared(from.address(), ack.digest(), now, out);
            measure(from.member(), ack, now);
        } else if (part instanceof Word.Errand errand) {
            prober.run(from.address(), errand, now, out);
        } else if (part instanceof Word.Done done) {
            prober.done(done);
        } else if (part instanceof Word.News news) {
            news.claims().forEach(claim -> hear(from, claim, now, true, now, out));
        } else if (part instanceof Word.Ask ask) {
            leveller.answer(from.address(), ask, now, out);
        } else if (part instanceof Word.Page page) {
            page.claims().forEach(aged -> hear(from, aged.claim(), now - aged.age(), false, now, out));
        }
        if (stirred) {
            work(now, out);
        }
    }

    @Override
    public double tick(double now, Outbox out) {
        awake(now);
        return health.wants(Math.max(now, work(now, out)));
    }

    private double work(double now, Outbox out) {
        stirred = false;
        if (now >= sweepAt) {
            sweepAt = now + SWEEP;
            register.forget(now - settings.remember());
            register.own(voice.own());
        }
        double next = sweepAt;
        if (!voice.left()) {
            next = Math.min(next, prober.turn(now, out));
            next = Math.min(next, suspicions.turn(now));
            next = Math.min(next, knocker.turn(now, out));
        }
        return Math.min(next, voice.spread(now, out));
    }

    /** Guards against a stand of this router's own: silence while it stood was its own. */
    private void awake(double now) {
        if (health.stood(now)) {
            prober.stood();
            suspicions.stood(now);
        }
    }

    /** Tells the others that this router goes; final for this life. Turns are still wanted for a second or so. */
    public void leave(double now, Outbox out) {
        voice.leave(now, out);
    }

    /** The operator has named further seeds. */
    public void seek(List<Address> seeds) {
        knocker.seek(seeds);
    }

    /** Something came from that very member, by whatever machine's part. */
    public void contact(Member member, double now) {
        Known known = register.known(member);
        if (known != null) {
            known.heardAt = Math.max(known.heardAt, now);
        }
    }

    /** Who speaks is a member; whom this router holds to be something else is told what, and contradicts if it can. */
    private void introduce(Peer from, Peer speaker, long counter, double now, Outbox out) {
        hear(from, Claim.alive(speaker, counter), now, true, now, out);
        contact(from.member(), now);
        boolean own = speaker.member().name().equals(self.member().name());
        Known known = register.known(speaker.member().name());
        if (known == null && own) {
            voice.tell(from.address(), voice.own(), out);
            if (now - startedAt > TWIN_AFTER) {
                twin(self, speaker, now);
            }
        } else if (known != null && !(known.is(speaker.member()) && known.claim.standing() == Standing.ALIVE)) {
            voice.tell(from.address(), known.claim, out);
            if (Claim.LIFE.compare(known.peer(), speaker) > 0
                    && now - known.metAt > TWIN_AFTER
                    && !speaker.equals(known.twin)) {
                known.twin = speaker;
                listener.twins(known.peer(), speaker, now);
            }
        }
    }

    private void twin(Peer counts, Peer other, double now) {
        if (!other.equals(ownTwin)) {
            ownTwin = other;
            listener.twins(counts, other, now);
        }
    }

    /**
     * @param since when that standing began, as far as is known
     * @param fresh it is news, to be told on; else an old word that came to bring rosters level
     */
    private void hear(Peer from, Claim claim, double since, boolean fresh, double now, Outbox out) {
        if (claim.name().equals(self.member().name())) {
            hearOfOwnName(from, claim, now, out);
            return;
        }
        Known known = register.known(claim.name());
        boolean changes = known == null || claim.outdoes(known.claim) || claim.standing() == Standing.SUSPECTED;
        if (changes
                && known != null
                && known.lives()
                && claim.standing() == Standing.GONE
                && known.peer().equals(claim.peer())
                && (!fresh || now - known.heardAt < JUST_HEARD)) {
            // The other side of a cut that is over: it would take half the fleet away for a moment. The accused can
            // contradict,
            // and where this router only missed the news its own look finds the accused silent.
            voice.tell(known.peer().address(), claim, out);
            if (known.claim.standing() == Standing.ALIVE) {
                prober.look(known, now);
                stirred = true;
            }
        } else if (changes) {
            take(
                    !fresh && claim.standing() == Standing.SUSPECTED
                            ? Claim.alive(claim.peer(), claim.counter())
                            : claim,
                    since,
                    fresh,
                    now);
        }
    }

    private void hearOfOwnName(Peer from, Claim claim, double now, Outbox out) {
        int order = Claim.LIFE.compare(claim.peer(), self);
        if (order > 0) {
            take(claim, now, true, now);
            register.own(voice.own());
            twin(claim.peer(), self, now);
        } else if (order == 0 && voice.refutes(claim, now)) {
            health.worse();
            stirred = true;
            voice.tell(from.address(), voice.own(), out);
        }
    }

    private void take(Claim claim, double since, boolean fresh, double now) {
        Known before = register.known(claim.name());
        Claim held = before == null ? null : before.claim;
        Known known = register.take(claim, since, now);
        if (known == null || known.claim.equals(held)) {
            return;
        }
        if (fresh || leveller.settled()) {
            rumours.tell(known.claim, now);
            stirred = true;
        }
        if (!fresh) {
            leveller.more(now);
        }
        suspicions.changed(known, held, now);
        follow(known, held, now);
        report(known, held, now);
    }

    private void follow(Known known, Claim held, double now) {
        Standing standing = known.claim.standing();
        if (standing == Standing.SUSPECTED
                && !known.claim.accusers().contains(Claim.accuser(self.member().name()))) {
            prober.check(known, now);
        } else if (standing == Standing.GONE) {
            knocker.gone(now);
        } else if (standing == Standing.ALIVE && held != null && held.standing() == Standing.GONE) {
            leveller.more(now);
        }
    }

    private void report(Known known, Claim held, double now) {
        Peer peer = known.peer();
        boolean sameLife = held != null && held.peer().equals(peer);
        if (held != null && !sameLife && held.peer().member().equals(peer.member())) {
            listener.twins(peer, held.peer(), now);
        }
        Standing was = sameLife ? held.standing() : null;
        Standing is = known.claim.standing();
        boolean lived = held != null && held.lives();
        if (is.lives() && was == null) {
            listener.joined(peer, now);
        } else if (is.lives() && (was == Standing.GONE || was == Standing.SUSPECTED && is == Standing.ALIVE)) {
            listener.alive(peer, now);
        }
        if (is == Standing.SUSPECTED) {
            listener.suspected(peer, known.claim.accusers().size(), now);
        } else if (is == Standing.GONE && lived) {
            listener.gone(peer, now);
        } else if (is == Standing.LEFT && held != null && was != Standing.LEFT) {
            listener.left(peer, now);
        }
    }

    /** A probe's one way tells no delay; but when it hints at a clock that is off, the clock is asked for. */
    private void lookAtClock(Peer from, Word.Probe probe, double now, Outbox out) {
        Known known = register.known(from.member());
        if (known == null || now - known.clockAskedAt < CLOCK_AGAIN) {
            return;
        }
        double ahead = known.skew.ahead();
        if (Math.abs(probe.sentAt() - now - (Double.isNaN(ahead) ? 0 : ahead)) > settings.clockBound() / 2) {
            known.clockAskedAt = now;
            voice.probe(from.address(), null, voice.nextSequence(), now, out);
        }
    }

    private void measure(Member by, Word.Ack ack, double now) {
        Known known = register.known(by);
        if (known == null) {
            return;
        }
        known.skew.measured(ack.sentAt(), ack.gotAt(), now);
        double off = Math.abs(known.skew.ahead());
        if (!known.clockOff && off - known.skew.error(now) > settings.clockBound()) {
            known.clockOff = true;
            listener.clockOff(known.peer(), known.skew.ahead(), now);
        } else if (known.clockOff && off < CLOCK_FINE * settings.clockBound()) {
            known.clockOff = false;
            listener.clockFine(known.peer(), known.skew.ahead(), now);
        }
    }

    @Override
    public Peer self() {
        return self;
    }

    @Override
    public List<Peer> livePeers() {
        return register.others();
    }

    @Override
    public List<Member> possiblyServing(double now) {
        return register.mayServe(now - settings.deadAfter());
    }

    @Override
    public boolean isLive(Member member) {
        Known known = register.known(member);
        return known != null && known.lives();
    }

    @Override
    public double lastHeardAt(Member member) {
        Known known = register.known(member);
        return known == null ? Double.NEGATIVE_INFINITY : known.heardAt;
    }

    @Override
    public double clockOffset(Member member) {
        Known known = register.known(member);
        return known == null ? Double.NaN : known.skew.ahead();
    }

    @Override
    public boolean clockWithinBound(Member member) {
        Known known = register.known(member);
        return known == null || !known.clockOff;
    }

    @Override
    public boolean recentlyStalled(double now) {
        return health.doubtful(now);
    }

    /** A younger life of this router's own name is known: others count that one. */
    public boolean replaced() {
        return register.known(self.member().name()) != null;
    }

    /** Claims on further names that were refused, since the start. */
    public long refused() {
        return register.refused();
    }
}
