package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ObjDoubleConsumer;

/** Asks one member after the other whether it is there, on a bad way through others, and asks for others in turn. */
final class Prober {
    /**
     * Of one probe: directly, then twice directly and through helpers. At a fifth lost one in five hundred finds
     * nobody.
     */
    private static final int TRIES = 3;
    /**
     * Members of the whole fleet that look at once when one is accused, on average: three that agree are then nearly
     * sure.
     */
    private static final double CHECKERS = 10;
    /** Such looks at a time; the rest of a large cut is found by the rounds. */
    private static final int CHECKS = 4;
    /** Errands for others at a time; further ones are not run. */
    private static final int ERRANDS = 1024;
    /**
     * Of the wait of whoever sent it: when a helper says that it has no answer yet, so that its own word is in time.
     */
    private static final double SOON = 0.8;

    private static final class Probe {
        final Known target;
        final Peer peer;
        final long sequence;
        final double begunAt;
        final double endAt;
        final double wait;
        double nextAt;
        int tries;
        int helpers;
        boolean helped;
        boolean answered;

        Probe(Known target, long sequence, double now, MemberSettings settings, double patience) {
            this.target = target;
            this.sequence = sequence;
            peer = target.peer();
            begunAt = now;
            nextAt = now;
            endAt = now + settings.period() * patience;
            wait = settings.retry() * patience;
        }

        /** The member has another life, or is out of the roster: what comes of it says nothing. */
        boolean moot() {
            return !target.lives() || !target.peer().equals(peer);
        }
    }

    private static final class Run {
        final Address asker;
        final Word.Errand errand;
        final long sequence;
        final double until;
        double saysAt;

        Run(Address asker, Word.Errand errand, long sequence, double saysAt, double until) {
            this.asker = asker;
            this.errand = errand;
            this.sequence = sequence;
            this.saysAt = saysAt;
            this.until = until;
        }
    }

    private final MemberSettings settings;
    private final Register register;
    private final Voice voice;
    private final Health health;
    private final SplittableRandom chance;
    private final ObjDoubleConsumer<Claim> accuse;
    /** Emptied a period after they began; one by the rounds, or two where patience has changed, and {@link #CHECKS}. */
    private final List<Probe> probes = new ArrayList<>();
    /** Emptied two periods after they began. */
    private final List<Run> runs = new ArrayList<>();

    private double nextAt;
    /** Every other probe goes to the neighbour: by chance alone one of thirty would not be probed for two seconds. */
    private boolean odd;

    Prober(
            MemberSettings settings,
            Register register,
            Voice voice,
            Health health,
            SplittableRandom chance,
            double now,
            ObjDoubleConsumer<Claim> accuse) {
        this.settings = settings;
        this.register = register;
        this.voice = voice;
        this.health = health;
        this.chance = chance;
        this.accuse = accuse;
        nextAt = now + settings.period() * chance.nextDouble(); // so that routers started at once do not ask at once
    }

    /** Another router has accused that one: now and then this one looks as well. */
    void check(Known accused, double now) {
        if (chance.nextDouble() * register.living() < CHECKERS) {
            look(accused, now);
        }
    }

    /** Probes that one out of turn, where there is room for it. */
    void look(Known target, double now) {
        if (probes.size() < CHECKS && probes.stream().noneMatch(probe -> probe.target == target)) {
            begin(target, now);
        }
    }

    private void begin(Known target, double now) {
        probes.add(new Probe(target, voice.nextSequence(), now, settings, health.patience()));
    }

    void answered(Member by, long sequence, Outbox out) {
        for (Probe probe : probes) {
            probe.answered |= probe.sequence == sequence && probe.peer.member().equals(by);
        }
        runs.removeIf(run -> {
            boolean done =
                    run.sequence == sequence && run.errand.target().member().equals(by);
            if (done) {
                out.add(run.asker, new Word.Done(run.errand.sequence(), true));
            }
            return done;
        });
    }

    void done(Word.Done done) {
        for (Probe probe : probes) {
            if (probe.sequence == done.sequence()) {
                probe.helped = true;
                probe.answered |= done.answered();
            }
        }
    }

    void run(Address asker, Word.Errand errand, double now, Outbox out) {
        if (runs.size() < ERRANDS) {
            var run = new Run(
                    asker, errand, voice.nextSequence(), now + SOON * settings.retry(), now + 2 * settings.period());
            runs.add(run);
            voice.probe(
                    errand.target().address(), register.known(errand.target().member()), run.sequence, now, out);
        }
    }

    /** This router stood still: whatever had no answer may have had one. */
    void stood() {
        probes.clear();
    }

    double turn(double now, Outbox out) {
        if (now >= nextAt) {
            odd = !odd;
            Known next = odd ? register.neighbour() : register.next();
            if (next != null) {
                begin(next, now);
            }
            nextAt = now + settings.period() * health.patience();
        }
        double next = nextAt;
        for (Probe probe : List.copyOf(probes)) {
            if (probe.answered || probe.moot() || now >= probe.endAt) {
                probes.remove(probe);
                end(probe, now);
            } else {
                next = Math.min(next, go(probe, now, out));
            }
        }
        return Math.min(next, runs(now, out));
    }

    private double go(Probe probe, double now, Outbox out) {
        if (now >= probe.nextAt && probe.tries < TRIES) {
            Address to = probe.peer.address();
            voice.probe(to, probe.target, probe.sequence, now, out);
            if (probe.tries > 0) {
                for (Known helper : register.some(settings.helpers(), probe.target)) {
                    out.add(helper.peer().address(), new Word.Errand(probe.sequence, probe.peer));
                    probe.helpers++;
                }
            }
            probe.tries++;
            probe.nextAt = probe.tries < TRIES ? now + probe.wait : probe.endAt;
        }
        return Math.min(probe.nextAt, probe.endAt);
    }

    private void end(Probe probe, double now) {
        if (probe.answered || probe.target.heardAt > probe.begunAt) {
            health.better();
        } else if (!probe.moot() && !health.doubtful(now)) {
            if (probe.helpers > 0 && !probe.helped) {
                health.worse(); // nobody at all answers: it may well be this router that is cut off
            }
            Claim claim = probe.target.claim;
            accuse.accept(
                    claim.as(
                            Standing.SUSPECTED,
                            List.of(Claim.accuser(voice.own().name()))),
                    now);
        }
    }

    private double runs(double now, Outbox out) {
        double next = Double.POSITIVE_INFINITY;
        runs.removeIf(run -> now >= run.until);
        for (Run run : runs) {
            if (now >= run.saysAt) {
                out.add(run.asker, new Word.Done(run.errand.sequence(), false));
                run.saysAt = Double.POSITIVE_INFINITY;
            }
            next = Math.min(next, Math.min(run.saysAt, run.until));
        }
        return next;
    }
}
