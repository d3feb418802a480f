package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Outbox;
import clayhook.fleet.Packet;
import java.util.ArrayList;
import java.util.List;

/**
 * Brings rosters level that gossip has not: of one who joins or returns, of the sides of a cut, of whoever missed news.
 * Probes carry a digest; where it goes on to differ, the parts that differ are asked for. What is lost on the way still
 * differs.
 */
final class Leveller {
    /** Pages in one answer, 400 members or so; the next question asks for what is still missing. */
    private static final int PAGES = 16;
    /**
     * Pages a second to all that ask, and how many of them may come at once: 120 KB a second when a whole fleet starts.
     */
    private static final double RATE = 100;

    private static final double STORE = 200;
    /** Seconds for which digests may differ while news is on its way. */
    private static final double SETTLE = 1;
    /** Seconds between two questions, while answers bring something and when they do not. */
    private static final double SOON = 0.25;

    private static final double SELDOM = 4;
    /** Bytes of a page beside its claims. */
    private static final int FRAME = 16;

    /** Seconds after the start; a fleet that starts at once is brought level by asking, not by telling each of each. */
    private static final double SETTLED = 5;

    private final Register register;
    private final double startedAt;
    /** Once its roster was like another's, what an answer brings is news to this router's neighbours as well. */
    private boolean settled;

    private double askAt = Double.NEGATIVE_INFINITY;
    private double pause = SOON;
    private double pages = STORE;
    private double refilledAt = Double.NEGATIVE_INFINITY;

    Leveller(Register register, double now) {
        this.register = register;
        startedAt = now;
    }

    boolean settled() {
        return settled;
    }

    /** A router told the digest of its roster; asks it for the difference when that stays. */
    void compared(Address with, long digest, double now, Outbox out) {
        if (digest == register.digest()) {
            askAt = Math.max(askAt, now + SETTLE);
            pause = SOON;
            settled |= now - startedAt > SETTLED;
        } else if (now >= askAt) {
            out.add(with, new Word.Ask(register.digests()));
            askAt = now + pause;
            pause = Math.min(SELDOM, 2 * pause);
        }
    }

    /** Something came that was not known, or somebody came back: there may be more of it. */
    void more(double now) {
        pause = SOON;
        askAt = Math.min(askAt, now + SOON);
    }

    /** Answers with as many pages as it may. */
    void answer(Address to, Word.Ask ask, double now, Outbox out) {
        pages = Math.min(STORE, pages + RATE * Math.max(0, now - refilledAt));
        refilledAt = now;
        List<Word.Page.Aged> differing = register.differing(ask.digests(), now);
        int from = 0;
        for (int left = PAGES; left > 0 && pages >= 1 && from < differing.size(); left--, pages--) {
            var claims = new ArrayList<Word.Page.Aged>();
            int room = Packet.MAX_MESSAGE_BYTES - FRAME;
            for (;
                    from < differing.size()
                            && (room -= differing.get(from).claim().room() + 9) >= 0;
                    from++) {
                claims.add(differing.get(from));
            }
            out.add(to, new Word.Page(claims));
        }
    }
}
