package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import java.util.List;
import java.util.Locale;

/** What the merged figures of a stage show to this router: who is heard, whether to halt, whether to go on. */
final class Look {
    /** Bytes that a command group's figures take, about, and bytes a second that those of all routers may. */
    private static final double FIGURE_BYTES = 1300;

    private static final double FIGURES_BYTES = 20_000;
    /** Figures older than so many times the time between them, and the time that news takes, count as not heard. */
    private static final double STALE_TIMES = 3;

    private static final double NEWS_SECONDS = 2;

    private final MembershipView roster;
    private final Known known;
    private final RolloutSettings settings;
    private final Member self;

    Look(MembershipView roster, Known known, RolloutSettings settings) {
        this.roster = roster;
        this.known = known;
        this.settings = settings;
        this.self = roster.self().member();
    }

    /** Seconds between figures, so that those of all routers together stay within a bound. */
    double every(Live live) {
        double bytes = FIGURE_BYTES
                * live.terms.roster().size()
                * live.terms.plan().groups().size();
        return Math.max(settings.every(), bytes / FIGURES_BYTES);
    }

    /** Counts whose figures are fresh, and tells whose have ended. */
    void see(Live live, Figures figures, double now) {
        double stale = STALE_TIMES * every(live) + NEWS_SECONDS;
        live.heard = 0;
        live.dead = 0;
        figures.at().forEach((member, at) -> {
            boolean lives = member.equals(self) || roster.isLive(member);
            double ahead = member.equals(self) ? 0 : roster.clockOffset(member);
            live.heard += lives && live.votes(member) && at - (Double.isNaN(ahead) ? 0 : ahead) >= now - stale ? 1 : 0;
            live.dead += lives ? 0 : 1;
            if (!lives && live.told.add("dead " + member)) {
                known.tell(
                        News.What.FIGURES_END,
                        live,
                        member.name() + " is gone; what it shared until " + String.format(Locale.ROOT, "%.1f", at)
                                + " counts, what it counted after that is lost");
            }
        });
        boolean blind = live.heard < known.majority(live);
        // A stage that has just begun has no figures yet.
        if (blind != live.blind && (!blind || now - live.stageSince > stale)) {
            live.blind = blind;
            known.tell(
                    blind ? News.What.BLIND : News.What.SEEING,
                    live,
                    "fresh figures of " + live.heard + " routers, " + known.majority(live) + " needed");
        }
    }

    /** Why this router does not vote to go on; empty when it does. */
    String waits(Live live, Judge judge, Figures figures, double now) {
        double left = live.terms.plan().stages().get(live.stage() - 1).seconds() - (now - live.stageSince);
        if (!live.votes(self)) {
            return "this router is not in the roster";
        }
        if (!live.runs) {
            return "this router does not run the candidate";
        }
        if (live.heard < known.majority(live)) {
            return "fresh figures of " + live.heard + " routers only";
        }
        if (roster.recentlyStalled(now)) {
            return "this router stood still";
        }
        if (left > 0) {
            return (long) Math.ceil(left) + " s of the stage are left";
        }
        String waits = judge.waits(live.stage(), figures);
        return waits == null ? "" : waits;
    }

    /** For metrics. */
    Status status(Live live, Figures figures, double until) {
        Stage stage = live.terms.plan().stages().get(live.stage() - 1);
        List<Status.Rate> rates = stage.guards().stream()
                .map(guard -> {
                    Figures.Group group = figures.group(guard.group());
                    return new Status.Rate(
                            guard.group(),
                            guard.measure(),
                            group.commands(1),
                            group.level(guard.measure(), 1),
                            group.level(guard.measure(), 0),
                            group.evidence(guard.measure()));
                })
                .toList();
        return new Status(
                live.proposal.rules(),
                live.stage(),
                stage.share(),
                until,
                live.heard,
                live.terms.voters(),
                live.dead,
                live.waits,
                rates);
    }
}
