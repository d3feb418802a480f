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
final class Knocker {
    /** Seeds asked at a time while this router knows no member. */
    private static final int DOORS = 8;
    /** Of those that are gone, asked at a time: most of them may be dead. */
    private static final int GRAVES = 3;

    private static final double SLOWER = 1.5;

    private static final class Seed {
        final Address address;
        long sequence = -1;
        /** Null until one has answered from there. */
        Member member;

        Seed(Address address) {
            this.address = address;
        }
    }

    private final MemberSettings settings;
    private final Register register;
    private final Voice voice;
    private final SplittableRandom chance;
    /** As the operator's file has them. */
    private final List<Seed> seeds = new ArrayList<>();

    private double pause;
    private double nextAt = Double.NEGATIVE_INFINITY;

    Knocker(MemberSettings settings, List<Address> seeds, Register register, Voice voice, SplittableRandom chance) {
        this.settings = settings;
        this.register = register;
        this.voice = voice;
        this.chance = chance;
        seek(seeds);
    }

    /** Looks at these too, at the next turn; none is ever taken back. */
    void seek(List<Address> more) {
        more.stream()
                .distinct()
                .filter(seed -> !seed.equals(voice.own().peer().address())
                        && seeds.stream().noneMatch(known -> known.address.equals(seed)))
                .forEach(seed -> seeds.add(new Seed(seed)));
        pause = settings.knock();
        nextAt = Double.NEGATIVE_INFINITY;
    }

    void answered(Member by, long sequence) {
        for (Seed seed : seeds) {
            if (seed.sequence == sequence) {
                seed.member = by;
            }
        }
    }

    /** One is gone that may only be cut off. */
    void gone(double now) {
        pause = settings.knock();
        nextAt = Math.min(nextAt, now + jittered(pause));
    }

    private double jittered(double time) {
        return time * (0.75 + chance.nextDouble() / 2);
    }

    double turn(double now, Outbox out) {
        if (now < nextAt) {
            return nextAt;
        }
        List<Seed> silent = seeds.stream()
                .filter(seed -> seed.member == null
                        || register.known(seed.member) == null
                        || !register.known(seed.member).lives())
                .toList();
        int doors = Math.min(silent.size(), register.living() == 0 ? DOORS : 1);
        for (int i = 0, from = chance.nextInt(1 + silent.size()); i < doors; i++) {
            knock(silent.get((from + i) % silent.size()), now, out);
        }
        for (Known gone : register.someGone(GRAVES)) {
            voice.probe(gone.peer().address(), gone, voice.nextSequence(), now, out);
        }
        nextAt = now + jittered(pause);
        pause = Math.min(settings.knockMost(), pause * SLOWER);
        return nextAt;
    }

    private void knock(Seed seed, double now, Outbox out) {
        seed.sequence = voice.nextSequence();
        voice.probe(seed.address, null, seed.sequence, now, out);
    }
}
