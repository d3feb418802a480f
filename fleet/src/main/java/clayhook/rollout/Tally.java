package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedStore;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What this router counts of one rollout: by stage and command group, the two versions side by side. */
final class Tally {
    /** Seconds within which both versions are taken to live through the same. */
    static final double SLICE = 1;
    /** Times of the old version from which its 99th percentile is taken; it then stays for the stage. */
    private static final int ENOUGH_TIMES = 500;
    /** Stages kept: commands of the one before still come to their end. */
    private static final int MOST_STAGES = 2;

    private static final class Group {
        /** What came since the slice began. */
        Batch.Cell[] open = {new Batch.Cell(), new Batch.Cell()};
        /** All before: the old version's, the candidate's. */
        final Batch.Cell[] closed = {new Batch.Cell(), new Batch.Cell()};

        final double[] sums = new double[Figure.Sums.SIZE];
        double slowFrom = Double.NaN;
        /** Whether something came since the slice began; and since it was shared. */
        boolean opened;

        boolean news;
        long writings;
    }

    private final String round;
    private final Member self;
    private final Set<String> watched;
    /** By stage and group; the oldest stage goes when a third begins. */
    private final TreeMap<Integer, Map<String, Group>> stages = new TreeMap<>();

    private double sliceEnds = Double.NEGATIVE_INFINITY;

    Tally(String round, Member self, Set<String> watched) {
        this.round = round;
        this.self = self;
        this.watched = watched;
    }

    private Map<String, Group> groups(int stage) {
        Map<String, Group> groups = stages.get(stage);
        if (groups == null) {
            groups = new HashMap<>();
            for (String group : watched) {
                groups.put(group, new Group());
            }
            stages.put(stage, groups);
            if (stages.size() > MOST_STAGES) {
                stages.pollFirstEntry();
            }
        }
        return groups;
    }

    /** Outcomes of one version. Those of a stage long over are dropped. */
    void took(Version version, Map<String, Batch.Cell> cells) {
        if (stages.size() == MOST_STAGES && version.stage() < stages.firstKey()) {
            return;
        }
        Map<String, Group> groups = groups(version.stage());
        cells.forEach((name, cell) -> {
            Group group = groups.get(name);
            if (group != null) {
                group.open[version.candidate() ? 1 : 0].add(cell);
                group.opened = true;
            }
        });
    }

    /** Closes the slice when it is over. */
    void turn(double now) {
        if (now >= sliceEnds) {
            stages.values().forEach(groups -> groups.values().forEach(Tally::close));
            sliceEnds = now + SLICE;
        }
    }

    private static void close(Group group) {
        if (!group.opened) {
            return;
        }
        for (Measure measure : Measure.values()) {
            int all = all(measure);
            int bad = bad(measure);
            SequentialTest.add(
                    group.sums,
                    measure.ordinal() * Figure.Sums.WIDTH,
                    SequentialTest.total(group.open[0].counts, 0, all),
                    SequentialTest.total(group.open[0].counts, 0, bad),
                    SequentialTest.total(group.open[1].counts, 0, all),
                    SequentialTest.total(group.open[1].counts, 0, bad));
        }
        for (int i = 0; i < 2; i++) {
            group.closed[i].add(group.open[i]);
        }
        group.open = new Batch.Cell[] {new Batch.Cell(), new Batch.Cell()};
        group.opened = false;
        group.news = true;
    }

    /** Where in a bucket the commands stand that a measure is a share of. */
    static int all(Measure measure) {
        return measure == Measure.SLOW ? Batch.Cell.TIMED : Batch.Cell.ALL;
    }

    /** Where in a bucket those stand that a measure counts. */
    static int bad(Measure measure) {
        return switch (measure) {
            case FAILED -> Batch.Cell.FAILED;
            case LATE -> Batch.Cell.LATE;
            case THROTTLED -> Batch.Cell.THROTTLED;
            case SLOW -> Batch.Cell.SLOW;
        };
    }

    /** Seconds from which a command of each watched group counts as slow in that stage; NaN while that is not known. */
    Map<String, Double> slowFrom(int stage) {
        var limits = new HashMap<String, Double>();
        groups(stage).forEach((name, group) -> {
            if (Double.isNaN(group.slowFrom)) {
                Map<String, Group> before = stages.get(stage - 1);
                group.slowFrom = slowest(group, before == null ? null : before.get(name));
            }
            limits.put(name, group.slowFrom);
        });
        return limits;
    }

    /** Of what was closed before, so that no command has a say in whether it counts as slow itself. */
    private static double slowest(Group group, Group before) {
        var old = new Batch.Cell();
        old.add(group.closed[0]);
        if (before != null) {
            old.add(before.closed[0]);
        }
        long times = 0;
        for (long count : old.times) {
            times += count;
        }
        return times >= ENOUGH_TIMES ? Times.slowest(old.times) : Double.NaN;
    }

    /** Puts what is new where the others find it, and in any case one figure of that stage, as a sign of life. */
    void share(ReplicatedStore shared, int stage, double now) {
        groups(stage);
        stages.forEach((of, groups) -> {
            boolean sign = of == stage;
            for (Map.Entry<String, Group> entry : new TreeMap<>(groups).entrySet()) {
                if (entry.getValue().news || sign) {
                    share(shared, new Figure.Key(round, of, self, entry.getKey()).text(), entry.getValue(), now);
                    sign = false;
                }
            }
        });
    }

    private static void share(ReplicatedStore shared, String key, Group group, double now) {
        long number = ++group.writings;
        long[] counts = new long[Figure.Sums.SIZE + 2 * Batch.Cell.SIZE];
        for (int i = 0; i < Figure.Sums.SIZE; i++) {
            counts[i] = SequentialTest.shared(group.sums[i]);
        }
        System.arraycopy(group.closed[0].counts, 0, counts, Figure.Sums.SIZE, Batch.Cell.SIZE);
        System.arraycopy(group.closed[1].counts, 0, counts, Figure.Sums.SIZE + Batch.Cell.SIZE, Batch.Cell.SIZE);
        shared.merge(Figure.COUNTS, key, new Figure(number, now, counts), now);
        if (group.news) {
            shared.merge(Figure.OLD_TIMES, key, new Figure(number, now, group.closed[0].times.clone()), now);
            shared.merge(Figure.CANDIDATE_TIMES, key, new Figure(number, now, group.closed[1].times.clone()), now);
        }
        group.news = false;
    }
}
