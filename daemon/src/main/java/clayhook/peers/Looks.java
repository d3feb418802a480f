package clayhook.peers;

import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Role;
import clayhook.fleet.Roster;
import clayhook.fleet.Shared;
import clayhook.fleet.kinds.Evidence;
import clayhook.fleet.kinds.Sight;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * What this router has seen of nodes, thinned to what the others do not know yet. Guards against traffic that grows
 * with commands, and against a hundred routers that all tell the same at once.
 */
final class Looks {
    /** Seconds; readers ask for a word of the last second, and a word is some tenths on its way. */
    static final double FRESH = 0.5;
    /** Seconds between two turns, and about the time in which one router's word reaches the rest. */
    static final double EVERY = 0.1;
    /** Routers that tell at once what cannot wait: one is likely lost or late, ten are not. */
    private static final int URGENT = 10;
    /** Seconds; a shorter wait for an answer says more of the client than of the node. */
    private static final double PATIENCE = 0.2;
    /** Failures known of several routers; more prove no more. */
    private static final int ENOUGH = 3;
    /** Seconds; a report arrives at most so old, and is made anew so often. */
    private static final double OLDEST_REPORT = 5, REPORT_AGE = 0.25;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    /** Of one node since it was last told; times are those of what was seen. */
    private static final class Look {
        double heardAt = NEVER, toldAt = NEVER, primaryAt = NEVER, replicaAt = NEVER, loadAt = NEVER, failedAt = NEVER;
        double position, lag, load;
        int strikes;
        boolean news;
    }

    private final String self;
    private final Roster roster;
    private final SplittableRandom chance;
    /** By key; one a node that answers, emptied with the list of nodes. */
    private final Map<String, Look> looks = new HashMap<>();

    private double nextAt = NEVER;

    Looks(Roster roster, SplittableRandom chance) {
        this.roster = roster;
        this.chance = chance;
        self = roster.self().member().name();
    }

    /** That came back from a node. */
    void saw(String key, AttemptResult reply, double now) {
        Look look = looks.computeIfAbsent(key, any -> new Look());
        look.news = true;
        double then = now - reply.elapsedSeconds() / 2;
        AttemptOutcome outcome = reply.outcome();
        if (outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.REJECTED || reply.role() != Role.UNKNOWN) {
            look.heardAt = Math.max(look.heardAt, then);
            look.strikes = 0;
        } else if (outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.TIMED_OUT && reply.elapsedSeconds() >= PATIENCE) {
            look.strikes++;
            look.failedAt = now;
        }
        position(look, reply, then);
        role(look, reply, then);
        if (reply.reportedLoad() >= 0) {
            look.load = reply.reportedLoad();
            look.loadAt = then;
        }
    }

    /** As a router reckons it itself: the log goes on, whether or not its primary was heard. */
    private static void position(Look look, AttemptResult reply, double then) {
        double position = Math.max(reply.appliedPosition(), reply.reportedPosition());
        if (position > 0) {
            look.position = position;
            look.lag = Math.max(0, (reply.appliedPosition() > 0 ? then : then - REPORT_AGE) - position);
            look.toldAt = then;
        }
    }

    /** A report is as old as its position, though a replica's may be older than the report. */
    private static void role(Look look, AttemptResult reply, double then) {
        if (reply.role() == Role.PRIMARY) {
            look.primaryAt = Math.max(look.primaryAt, then);
        } else if (reply.role() == Role.REPLICA) {
            look.replicaAt = Math.max(look.replicaAt, then);
        }
        double reported = reply.reportedPosition();
        if (reply.reportedRole() == Role.PRIMARY && reported > 0) {
            look.primaryAt = Math.max(look.primaryAt, Math.min(reported, then));
        } else if (reply.reportedRole() == Role.REPLICA) {
            look.replicaAt = Math.max(look.replicaAt, Math.min(then, Math.max(reported, then - OLDEST_REPORT)));
        }
    }

    /** Only nodes of those keys go on. */
    void keep(Set<String> keys) {
        looks.keySet().retainAll(keys);
    }

    /** Puts in what others do not know; {@code starts} tells when the life of a node began, 0 for long ago. */
    double turn(Shared shared, ToDoubleFunction<String> starts, double now) {
        if (now < nextAt) {
            return nextAt;
        }
        nextAt = now + EVERY;
        double others = 1 + roster.others().size();
        looks.forEach((key, look) -> {
            if (look.news) {
                double start = starts.applyAsDouble(key);
                Evidence known = shared.get(Evidence.KIND, key);
                boolean urgent = known == null || known.nodeStart() < start || differs(look, known);
                if ((urgent || look.heardAt > at(known.heard()) + FRESH)
                        && chance.nextDouble() < (urgent ? URGENT : 1) / others) {
                    look.news = false;
                    shared.put(Evidence.KIND, key, evidence(look, start), now);
                }
            }
        });
        return nextAt;
    }

    private static double at(Sight sight) {
        return sight == null ? NEVER : sight.at();
    }

    /** Another role, or a failure that has not been told by enough. */
    private boolean differs(Look look, Evidence known) {
        boolean primary = look.primaryAt > look.replicaAt;
        double roleAt = Math.max(look.primaryAt, look.replicaAt);
        boolean role = primary != at(known.primary()) > at(known.replica())
                && roleAt > Math.max(at(known.primary()), at(known.replica()));
        boolean said = known.strikes().stream()
                .anyMatch(strike ->
                        strike.count() >= look.strikes && strike.sight().by().equals(self));
        return role
                || look.strikes > 0
                        && look.failedAt > at(known.heard())
                        && known.strikes().size() < ENOUGH
                        && !said;
    }

    private Evidence evidence(Look look, double start) {
        Evidence evidence = Evidence.none(start);
        if (look.toldAt > NEVER) {
            evidence = evidence.told(look.position, look.lag, sight(look.toldAt));
        }
        if (look.primaryAt > NEVER) {
            evidence = evidence.role(true, sight(look.primaryAt));
        }
        if (look.replicaAt > NEVER) {
            evidence = evidence.role(false, sight(look.replicaAt));
        }
        if (look.loadAt > NEVER) {
            evidence = evidence.load(look.load, sight(look.loadAt));
        }
        if (look.heardAt > NEVER) {
            evidence = evidence.heard(sight(look.heardAt));
        }
        return look.strikes == 0 ? evidence : evidence.failed(look.strikes, sight(look.failedAt));
    }

    private Sight sight(double at) {
        return Sight.of(at, self);
    }
}
