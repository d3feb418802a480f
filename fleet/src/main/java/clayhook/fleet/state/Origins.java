package clayhook.fleet.state;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

/**
 * How far this copy has what each member put in, and what it put in itself. Lives of members are told apart by a hash
 * of 64 bits, which saves their names on the wire.
 */
final class Origins {
    /** Lives that the roster does not name, kept beside those it names: its news may come later than the state's. */
    private static final int STRANGERS = 1024;
    /** Seconds for which one that may no more serve is remembered. */
    private static final double REMEMBERED = 60;

    private static final double MS = 1000;

    private final MembershipView roster;
    private final StateSettings settings;
    private final long self;
    /** Emptied by {@link #tidy}; at most {@link #STRANGERS} more than may serve. */
    private final Map<Long, Track> byId = new HashMap<>();
    /** Emptied by {@link #tidy} of those that may no more serve. */
    private final Map<Member, Track> byMember = new HashMap<>();

    private long count;
    private double latest;
    /** Whose pair is told next. */
    private int turn;

    Origins(MembershipView roster, StateSettings settings, int turn, double now) {
        this.roster = roster;
        this.settings = settings;
        this.turn = turn;
        self = Keys.id(roster.self().member());
        latest = now;
    }

    long self() {
        return self;
    }

    long count() {
        return count;
    }

    /** The number of what this router puts in next. */
    long put() {
        return ++count;
    }

    /** Time of what is told; never goes back. */
    double asOf(double now) {
        latest = Math.max(latest, now);
        return latest;
    }

    private Track track(long id, double now) {
        Track track = byId.get(id);
        if (track == null) {
            if (byId.size() >= byMember.size() + STRANGERS) {
                byId.values().retainAll(new HashSet<>(byMember.values()));
            }
            track = new Track(id);
            byId.put(id, track);
        }
        track.touched = now;
        return track;
    }

    Track of(Member member, double now) {
        Track known = byMember.get(member);
        if (known == null) {
            known = track(Keys.id(member), now);
            known.began(member.incarnation() / MS);
            byMember.put(member, known);
        }
        return known;
    }

    /** What that one put in under that number is here. Returns whether that is new. */
    boolean holds(long id, long number, double now) {
        return id != self && track(id, now).holds(number);
    }

    /** That one had put in so many by then. */
    void told(Word.Pair pair, double now) {
        if (pair.id() != self) {
            track(pair.id(), now).told(pair.count(), pair.asOf(), now);
        }
    }

    /** All of that is here. */
    void has(Word.Pair pair, double now) {
        if (pair.id() != self) {
            track(pair.id(), now).has(pair.count(), pair.asOf());
        }
    }

    private Word.Pair own(double now) {
        return new Word.Pair(self, count, asOf(now));
    }

    /** The next ones in turn that fit into so many bytes; the own one is always among them. */
    List<Word.Pair> piece(int bytes, double now) {
        List<Member> members = roster.possiblyServing(now);
        var out = new ArrayList<Word.Pair>(List.of(own(now)));
        int room = bytes - room(out.get(0), now);
        for (int i = 0; i < members.size(); i++) {
            Track track = of(members.get(Math.floorMod(turn, members.size())), now);
            var pair = new Word.Pair(track.id, track.sureCount(), track.sure());
            room -= room(pair, now);
            if (room < 0) {
                break;
            }
            turn++;
            out.add(pair);
        }
        return out;
    }

    private static int room(Word.Pair pair, double now) {
        return 2 + Long.BYTES + 1 + room(pair.count()) + room((long) ((now - pair.asOf()) * MS) + 1);
    }

    /** Bytes of a number on the wire. */
    private static int room(long value) {
        return value < 0
                ? Long.BYTES + 1
                : value < 1 << 8 ? 2 : value < 1 << 16 ? 3 : value < 1L << 32 ? 5 : Long.BYTES + 1;
    }

    /** What is known here of those. */
    List<Word.Pair> known(long[] ids, double now) {
        var out = new ArrayList<Word.Pair>();
        for (long id : ids) {
            Track track = byId.get(id);
            if (id == self) {
                out.add(own(now));
            } else if (track != null && track.sure() > Double.NEGATIVE_INFINITY) {
                out.add(new Word.Pair(id, track.sureCount(), track.sure()));
            }
        }
        return out;
    }

    /** Those of whom something has been missing here for longer than that; with {@code all}, all. */
    List<Member> lacking(boolean all, double longer, double now) {
        return roster.possiblyServing(now).stream()
                .filter(member -> all || of(member, now).lacks(longer, now))
                .toList();
    }

    /** Up to when all is here that anyone put in who may serve, on this router's clock. */
    double certain(double now) {
        double least = now;
        for (Member member : roster.possiblyServing(now)) {
            // What a router whose clock is off puts in is not heard, so nothing can be said of it.
            if (!roster.clockWithinBound(member)) {
                return Double.NEGATIVE_INFINITY;
            }
            double ahead = roster.clockOffset(member);
            least = Math.min(least, of(member, now).sure() - (Double.isNaN(ahead) ? settings.clockBound() : ahead));
        }
        return least;
    }

    /** Forgets who may no more serve. */
    void tidy(double now) {
        byMember.keySet().retainAll(new HashSet<>(roster.possiblyServing(now)));
        var named = new HashSet<>(byMember.values());
        byId.values().removeIf(track -> !named.contains(track) && track.touched + REMEMBERED < now);
    }
}
