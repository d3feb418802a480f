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
final class VersionVector {
    /** Lives that the roster does not name, kept beside those it names: its news may come later than the state's. */
    private static final int MAX_UNLISTED_ORIGINS = 1024;
    /** Seconds for which one that may no more serve is remembered. */
    private static final double RETENTION_SECONDS = 60;

    private static final double MILLIS_PER_SECOND = 1000;

    private final MembershipView roster;
    private final StateSettings settings;
    private final long selfId;
    /** Emptied by {@link #removeDeparted}; at most {@link #MAX_UNLISTED_ORIGINS} more than may serve. */
    private final Map<Long, OriginProgress> byId = new HashMap<>();
    /** Emptied by {@link #removeDeparted} of those that may no more serve. */
    private final Map<Member, OriginProgress> byMember = new HashMap<>();

    private long lastSequence;
    private double lastAsOf;
    /** Whose pair is told next. */
    private int nextMemberIndex;

    VersionVector(MembershipView roster, StateSettings settings, int turn, double now) {
        this.roster = roster;
        this.settings = settings;
        this.nextMemberIndex = turn;
        selfId = StableHash.ofMember(roster.self().member());
        lastAsOf = now;
    }

    long selfId() {
        return selfId;
    }

    long lastSequence() {
        return lastSequence;
    }

    /** The number of what this router puts in next. */
    long nextSequence() {
        return ++lastSequence;
    }

    /** Time of what is told; never goes back. */
    double asOf(double now) {
        lastAsOf = Math.max(lastAsOf, now);
        return lastAsOf;
    }

    private OriginProgress findOrCreate(long id, double now) {
        OriginProgress track = byId.get(id);
        if (track == null) {
            if (byId.size() >= byMember.size() + MAX_UNLISTED_ORIGINS) {
                byId.values().retainAll(new HashSet<>(byMember.values()));
            }
            track = new OriginProgress(id);
            byId.put(id, track);
        }
        track.lastActivityAt = now;
        return track;
    }

    OriginProgress progressOf(Member member, double now) {
        OriginProgress known = byMember.get(member);
        if (known == null) {
            known = findOrCreate(StableHash.ofMember(member), now);
            known.onIncarnationStart(member.incarnation() / MILLIS_PER_SECOND);
            byMember.put(member, known);
        }
        return known;
    }

    /** What that one put in under that number is here. Returns whether that is new. */
    boolean markReceived(long id, long number, double now) {
        return id != selfId && findOrCreate(id, now).markReceived(number);
    }

    /** That one had put in so many by then. */
    void observe(StateMessage.OriginVersion pair, double now) {
        if (pair.originId() != selfId) {
            findOrCreate(pair.originId(), now).observe(pair.sequence(), pair.asOf(), now);
        }
    }

    /** All of that is here. */
    void markComplete(StateMessage.OriginVersion pair, double now) {
        if (pair.originId() != selfId) {
            findOrCreate(pair.originId(), now).markComplete(pair.sequence(), pair.asOf());
        }
    }

    private StateMessage.OriginVersion ownVersion(double now) {
        return new StateMessage.OriginVersion(selfId, lastSequence, asOf(now));
    }

    /** The next ones in turn that fit into so many bytes; the own one is always among them. */
    List<StateMessage.OriginVersion> nextGossipSlice(int bytes, double now) {
        List<Member> members = roster.possiblyServing(now);
        var out = new ArrayList<StateMessage.OriginVersion>(List.of(ownVersion(now)));
        int room = bytes - encodedBytes(out.get(0), now);
        for (int i = 0; i < members.size(); i++) {
            OriginProgress track = progressOf(members.get(Math.floorMod(nextMemberIndex, members.size())), now);
            var pair = new StateMessage.OriginVersion(track.originId, track.confirmedSequence(), track.confirmedAsOf());
            room -= encodedBytes(pair, now);
            if (room < 0) {
                break;
            }
            nextMemberIndex++;
            out.add(pair);
        }
        return out;
    }

    private static int encodedBytes(StateMessage.OriginVersion pair, double now) {
        return 2
                + Long.BYTES
                + 1
                + encodedBytes(pair.sequence())
                + encodedBytes((long) ((now - pair.asOf()) * MILLIS_PER_SECOND) + 1);
    }

    /** Bytes of a number on the wire. */
    private static int encodedBytes(long value) {
        return value < 0
                ? Long.BYTES + 1
                : value < 1 << 8 ? 2 : value < 1 << 16 ? 3 : value < 1L << 32 ? 5 : Long.BYTES + 1;
    }

    /** What is known here of those. */
    List<StateMessage.OriginVersion> knownVersions(long[] ids, double now) {
        var out = new ArrayList<StateMessage.OriginVersion>();
        for (long id : ids) {
            OriginProgress track = byId.get(id);
            if (id == selfId) {
                out.add(ownVersion(now));
            } else if (track != null && track.confirmedAsOf() > Double.NEGATIVE_INFINITY) {
                out.add(new StateMessage.OriginVersion(id, track.confirmedSequence(), track.confirmedAsOf()));
            }
        }
        return out;
    }

    /** Those of whom something has been missing here for longer than that; with {@code all}, all. */
    List<Member> membersWithGaps(boolean all, double longer, double now) {
        return roster.possiblyServing(now).stream()
                .filter(member -> all || progressOf(member, now).hasGapLongerThan(longer, now))
                .toList();
    }

    /** Up to when all is here that anyone put in who may serve, on this router's clock. */
    double completeUpTo(double now) {
        double least = now;
        for (Member member : roster.possiblyServing(now)) {
            // What a router whose clock is off puts in is not heard, so nothing can be said of it.
            if (!roster.clockWithinBound(member)) {
                return Double.NEGATIVE_INFINITY;
            }
            double ahead = roster.clockOffset(member);
            least = Math.min(
                    least,
                    progressOf(member, now).confirmedAsOf() - (Double.isNaN(ahead) ? settings.maxClockSkew() : ahead));
        }
        return least;
    }

    /** Forgets who may no more serve. */
    void removeDeparted(double now) {
        byMember.keySet().retainAll(new HashSet<>(roster.possiblyServing(now)));
        var named = new HashSet<>(byMember.values());
        byId.values().removeIf(track -> !named.contains(track) && track.lastActivityAt + RETENTION_SECONDS < now);
    }
}
