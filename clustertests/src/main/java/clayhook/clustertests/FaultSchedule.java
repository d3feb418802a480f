package clayhook.clustertests;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.stream.IntStream;

/** The faults of a test run in their order: each kind once, with routers and intensities drawn from the seed. */
public final class FaultSchedule {
    private FaultSchedule() {}

    public static List<ClusterFault> of(long seed, int routers) {
        var random = new Random(seed);
        List<Integer> order =
                new ArrayList<>(IntStream.range(0, routers).boxed().toList());
        Collections.shuffle(order, random);
        var faults = new ArrayList<>(List.of(
                new ClusterFault.Split(new TreeSet<>(order.subList(0, routers / 2))),
                new ClusterFault.Split(new TreeSet<>(order.subList(0, 1))),
                new ClusterFault.OneWay(order.get(1), order.get(2)),
                new ClusterFault.Stopped(order.get(random.nextInt(routers))),
                new ClusterFault.Killed(new TreeSet<>(order.subList(random.nextInt(routers - 1), routers - 1))),
                new ClusterFault.Killed(new TreeSet<>(order)),
                new ClusterFault.Everywhere(new LinkFault(false, 0.1 + 0.2 * random.nextDouble(), 0, 0, 0, 0, 0)),
                new ClusterFault.Everywhere(new LinkFault(false, 0, 0.1 + 0.4 * random.nextDouble(), 0.3, 0, 0, 0)),
                new ClusterFault.Everywhere(new LinkFault(false, 0, 0.1, 0, 0.1 + 0.3 * random.nextDouble(), 0, 0)),
                new ClusterFault.Everywhere(new LinkFault(false, 0, 0, 0, 0, 0.05 + 0.1 * random.nextDouble(), 0)),
                new ClusterFault.Everywhere(new LinkFault(false, 0, 0, 0, 0, 0, 2000 + random.nextInt(6000)))));
        Collections.shuffle(faults, random);
        return List.copyOf(faults);
    }
}
