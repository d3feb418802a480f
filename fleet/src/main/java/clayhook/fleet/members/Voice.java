package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

/** How this router speaks: whatever it says tells who it is, and takes news along. */
final class Voice {
    /** Bytes of news in one packet; with ten rounds a second to three members this bounds news to 20 KB a second. */
    private static final int NEWS = 600;
    /** Members told at once when this router leaves, for its process may end before the next round. */
    private static final int FAREWELLS = 12;

    private final MemberSettings settings;
    private final Register register;
    private final Rumours rumours;
    private Claim own;
    private long sequence;
    private double spreadAt = Double.NEGATIVE_INFINITY;

    Voice(Peer self, MemberSettings settings, Register register, Rumours rumours, SplittableRandom chance) {
        this.settings = settings;
        this.register = register;
        this.rumours = rumours;
        own = Claim.alive(self, 0);
        sequence =
                chance.nextInt(Integer.MAX_VALUE); // a younger life does not take answers for those to its own probes
        register.own(own);
    }

    Claim own() {
        return own;
    }

    boolean left() {
        return own.standing() == Standing.LEFT;
    }

    /**
     * Contradicts what was said of this life; false where there is nothing to contradict, or where it has left itself.
     */
    boolean refutes(Claim said, double now) {
        if (left() || !said.outdoes(own) || said.standing() == Standing.LEFT) {
            return false;
        }
        say(Claim.alive(own.peer(), said.counter() + 1), now);
        return true;
    }

    /** Makes this router's claim of itself known. */
    void say(Claim claim, double now) {
        own = claim;
        register.own(own);
        rumours.tell(own, now);
    }

    void leave(double now, Outbox out) {
        if (!left()) {
            say(own.as(Standing.LEFT, List.of()), now);
            tell(register.some(FAREWELLS, null), now, out);
        }
    }

    long nextSequence() {
        return sequence++;
    }

    /** @param known what is held against the one asked, so that it can contradict; null where nothing is known */
    void probe(Address to, Known known, long sequence, double now, Outbox out) {
        out.add(to, new Word.Probe(sequence, now, register.digest(), own.peer().address(), own.counter()));
        if (known != null && known.claim.standing() != Standing.ALIVE) {
            out.add(to, new Word.News(List.of(known.claim)));
        }
        news(to, now, out);
    }

    void answer(Address to, Word.Probe probe, double now, Outbox out) {
        out.add(
                to,
                new Word.Ack(
                        probe.sequence(),
                        probe.sentAt(),
                        now,
                        register.digest(),
                        own.peer().address(),
                        own.counter()));
        news(to, now, out);
    }

    /** Tells one router one thing. */
    void tell(Address to, Claim claim, Outbox out) {
        out.add(to, new Word.News(List.of(claim)));
    }

    private void news(Address to, double now, Outbox out) {
        if (!rumours.none()) {
            List<Claim> claims = rumours.pick(NEWS, 1 + register.living(), now);
            if (!claims.isEmpty()) {
                out.add(to, new Word.News(claims));
            }
        }
    }

    private void tell(Collection<Known> members, double now, Outbox out) {
        members.forEach(member -> news(member.peer().address(), now, out));
    }

    /** A round of gossip, when there is news and it is time; returns when the next one is wanted. */
    double spread(double now, Outbox out) {
        if (now >= spreadAt && !rumours.none() && register.living() > 0) {
            tell(register.some(settings.fan(), null), now, out);
            spreadAt = now + settings.gossip();
        }
        return rumours.none() || register.living() == 0 ? Double.POSITIVE_INFINITY : Math.max(now, spreadAt);
    }
}
