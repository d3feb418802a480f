package clayhook.lab.sharing;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.types.ListedEndpoint;
import clayhook.fleet.types.SessionWrite;
import clayhook.lab.model.VirtualScheduler;
import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Measures how fast updates spread, the traffic and processor time that sharing takes, and how long a router that was
 * away takes to catch up; each result is one line.
 */
public final class SharingMetrics {
    private static final double START = 1_000_000;
    /** Seconds until all routers, up to a thousand of them, have joined. */
    private static final double SETTLED = 30;
    /** Seconds over which traffic is counted. */
    private static final int COUNTED = 30;
    /** Number of updates; the next constant is the seconds between two, within which an update reaches all routers. */
    private static final int NEWS = 200;

    private static final double BETWEEN = 3;
    private static final int[] SIZES = {10, 100, 1000};
    /** Updates per second over all routers, for measuring the traffic that updates add. */
    private static final double RATE = 50;
    /** Seconds for which a router is away, and maximum seconds for it to catch up afterwards. */
    private static final double AWAY = 60, GIVEN_UP = 120;

    private static final double LOOK = 0.01;

    private final SimulatedPeerGroup.Spec spec;
    private final long seed;
    private final Consumer<String> lines;

    /** @param lines receives each line of results as soon as it is complete */
    public SharingMetrics(SimulatedPeerGroup.Spec spec, long seed, Consumer<String> lines) {
        this.spec = spec;
        this.seed = seed;
        this.lines = lines;
    }

    private void line(String format, Object... figures) {
        lines.accept(String.format(Locale.ROOT, format, figures));
    }

    private static SimulatedPeerGroup company(
            VirtualScheduler scheduler, SimulatedPeerGroup.Spec spec, FaultPlan plan, long seed) {
        return new SimulatedPeerGroup(
                scheduler, spec, plan, number -> RouterIncarnation.sharing(SharingTrial.KINDS), seed);
    }

    // ---- updates ----

    /** Measures the seconds until an update has reached 99% of the routers, without packet loss and with 20% loss. */
    public void news() {
        for (double loss : new double[] {0, 0.2}) {
            var lossy = new SimulatedPeerGroup.Spec(spec.routers(), spec.way(), loss);
            news(
                    "urgent",
                    lossy,
                    ListedEndpoint.TYPE,
                    number -> new ListedEndpoint(
                            number, ListedEndpoint.EndpointState.DRAINING, 0, false, "a", 1, "10.0.0.1", 1, START));
            news("usual", lossy, SessionWrite.TYPE, number -> new SessionWrite(START + BETWEEN * number, 1));
        }
    }

    private interface Piece<V> {
        V of(int number);
    }

    private <V> void news(String name, SimulatedPeerGroup.Spec lossy, ReplicatedType<V> kind, Piece<V> piece) {
        var scheduler = new VirtualScheduler(START);
        SimulatedPeerGroup company = company(scheduler, lossy, FaultPlan.NONE, seed);
        var random = new SplittableRandom(seed);
        double[][] came = new double[NEWS][lossy.routers()];
        company.routers().forEach(router -> router.shared()
                .addListener(
                        kind, (key, value, now) -> came[Integer.parseInt(key)][router.number()] = scheduler.now()));
        double[] told = new double[NEWS];
        for (int i = 0; i < NEWS; i++) {
            int number = i;
            told[i] = START + SETTLED + BETWEEN * (i + random.nextDouble() / 2);
            scheduler.scheduleAt(told[i], () -> company.routers()
                    .get(random.nextInt(lossy.routers()))
                    .put(kind, Integer.toString(number), piece.of(number)));
        }
        scheduler.runUntil(START + SETTLED + BETWEEN * (NEWS + 2));
        double[] most = new double[NEWS];
        for (int i = 0; i < NEWS; i++) {
            double[] times = came[i];
            Arrays.sort(times);
            most[i] = times[0] == 0
                    ? Double.POSITIVE_INFINITY
                    : times[(int) Math.ceil(0.99 * times.length) - 1] - told[i];
        }
        Arrays.sort(most);
        line(
                "%s news, %d routers, %.0f%% lost: at 99%% of them after %.3f s at the median, %.3f s at the 99th percentile, "
                        + "%.3f s at the most",
                name, lossy.routers(), 100 * lossy.loss(), most[NEWS / 2], most[NEWS * 99 / 100], most[NEWS - 1]);
    }

    // ---- traffic and processor time ----

    /**
     * Measures bytes, packets and processor time per router and second for several numbers of routers, without updates
     * and with some.
     */
    public void traffic() {
        for (int size : SIZES) {
            var scheduler = new VirtualScheduler(START);
            SimulatedPeerGroup company = company(
                    scheduler, new SimulatedPeerGroup.Spec(size, spec.way(), spec.loss()), FaultPlan.NONE, seed);
            scheduler.runUntil(START + SETTLED);
            traffic("no news", company, scheduler);
            var learning = new GeneratedValues(SharingTrial.KINDS, seed);
            var random = new SplittableRandom(seed);
            for (double at = 0; at < COUNTED; at += random.nextExponential() / RATE) {
                scheduler.scheduleAfter(
                        at, () -> put(learning.next(company.routers().get(random.nextInt(size)), scheduler.now())));
            }
            traffic("50 pieces of news a second", company, scheduler);
        }
    }

    private static <V> void put(GeneratedValues.Said<V> said) {
        said.by().put(said.kind(), said.key(), said.value());
    }

    private void traffic(String what, SimulatedPeerGroup company, VirtualScheduler scheduler) {
        int size = company.routers().size();
        int from = (int) (scheduler.now() - START);
        long before = processor();
        scheduler.runUntil(scheduler.now() + COUNTED);
        double spent = (processor() - before) / 1e9;
        TrafficMeter traffic = company.network().traffic();
        line(
                "%d routers, %s: %.0f bytes and %.1f packets sent a router a second, %d bytes the most of one in any second, "
                        + "%.3f%% of a core a router, network and all",
                size,
                what,
                traffic.bytes(from, from + COUNTED),
                traffic.packets(from, from + COUNTED),
                traffic.most(from, from + COUNTED),
                100 * spent / COUNTED / size);
    }

    private static long processor() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    // ---- catching up ----

    /**
     * Measures the seconds from the return of a router that was away for a minute until it has all {@code marks}
     * last-write positions written meanwhile.
     */
    public void catchUp(int marks) {
        catchUp("cut off", SharingFault.Kind.SPLIT, marks);
        catchUp("frozen", SharingFault.Kind.FREEZE, marks);
        catchUp("killed", SharingFault.Kind.KILL, marks);
    }

    private void catchUp(String what, SharingFault.Kind kind, int marks) {
        var scheduler = new VirtualScheduler(START);
        var plan = new FaultPlan(List.of(new SharingFault(SETTLED, kind, List.of(0), AWAY, 0)));
        SimulatedPeerGroup company = company(scheduler, spec, plan, seed);
        for (int i = 0; i < marks; i++) {
            int number = i;
            double at = START + SETTLED + (AWAY - 1) * i / marks;
            scheduler.scheduleAt(at, () -> company.routers()
                    .get(1 + number % (spec.routers() - 1))
                    .put(SessionWrite.TYPE, "s" + number, new SessionWrite(at, 1)));
        }
        double back = START + SETTLED + AWAY;
        scheduler.runUntil(back);
        PeeredRouter away = company.routers().get(0);
        double full = Double.NaN;
        double certain = Double.NaN;
        while (Double.isNaN(certain) && scheduler.now() < back + GIVEN_UP) {
            scheduler.runUntil(scheduler.now() + LOOK);
            full = Double.isNaN(full) && away.shared().size(SessionWrite.TYPE) >= marks ? scheduler.now() - back : full;
            certain = !Double.isNaN(full) && away.shared().completeUpTo(away.now()) > back
                    ? scheduler.now() - back
                    : Double.NaN;
        }
        int from = (int) (back - START);
        TrafficMeter traffic = company.network().traffic();
        line(
                "%d routers, one %s for %.0f s: all %d marks after %.2f s, certain of them after %.2f s; %d bytes the most that any "
                        + "sent in a second meanwhile",
                spec.routers(),
                what,
                AWAY,
                marks,
                full,
                certain,
                traffic.most(from, from + 1 + (int) Math.ceil(certain)));
    }
}
