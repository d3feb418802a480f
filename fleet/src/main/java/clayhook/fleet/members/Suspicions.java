package clayhook.fleet.members;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;

/** How long a suspect has to speak up: longer in a large fleet, and while few accuse it. */
final class Suspicions {
    private final MemberSettings settings;
    private final Register register;
    private final Health health;
    private final ObjDoubleConsumer<Claim> judge;
    /** Since when each is suspected here; emptied as they stand otherwise. At most the members. */
    private final Map<Known, Double> suspects = new LinkedHashMap<>();

    Suspicions(MemberSettings settings, Register register, Health health, ObjDoubleConsumer<Claim> judge) {
        this.settings = settings;
        this.register = register;
        this.health = health;
        this.judge = judge;
    }

    /** Its claim has changed; a suspect of before that spoke up and is accused anew gets the whole time. */
    void changed(Known known, Claim before, double now) {
        if (known.claim.standing() != Standing.SUSPECTED) {
            suspects.remove(known);
        } else if (before == null || !before.peer().equals(known.peer()) || before.counter() != known.claim.counter()) {
            suspects.put(known, now);
        } else {
            suspects.putIfAbsent(known, now);
        }
    }

    /** This router stood still, and may not have heard them speak up: all have their time anew. */
    void stood(double now) {
        suspects.replaceAll((known, since) -> now);
    }

    double turn(double now) {
        if (health.doubtful(now)) {
            return suspects.isEmpty() ? Double.POSITIVE_INFINITY : now + settings.period();
        }
        double next = Double.POSITIVE_INFINITY;
        for (Known suspect : List.copyOf(suspects.keySet())) {
            double until = suspects.get(suspect) + time(suspect.claim.accusers().size());
            if (now >= until) {
                judge.accept(suspect.claim.as(Standing.GONE, List.of()), now);
            } else {
                next = Math.min(next, until);
            }
        }
        return next;
    }

    /** Seconds. After Lifeguard: from the longest to the shortest by the logarithm of those that agree. */
    private double time(int accusers) {
        int members = register.living() + 1;
        double shortest = settings.period() * Math.max(2, settings.suspicion() * Math.log(members + 1.0) / Math.log(2));
        int expected = Math.min(Claim.MOST_ACCUSERS, members - 1) - 1; // without the suspect, and the one that began
        if (expected < 1) {
            return shortest;
        }
        double agreed = Math.log(Math.max(1, accusers)) / Math.log(expected + 1.0);
        return shortest * Math.max(1, settings.alone() - (settings.alone() - 1) * agreed);
    }
}
