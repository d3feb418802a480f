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
    private static final double SETTLE_SECONDS = 30;
    /** Seconds over which traffic is counted. */
    private static final int COUNT_SECONDS = 30;
    /** Number of updates; the next constant is the seconds between two, within which an update reaches all routers. */
    private static final int UPDATES = 200;

    private static final double UPDATE_INTERVAL = 3;
    private static final int[] SIZES = {10, 100, 1000};
    /** Updates per second over all routers, for measuring the traffic that updates add. */
    private static final double UPDATE_RATE = 50;
    /** Seconds for which a router is away, and maximum seconds for it to catch up afterwards. */
    private static final double AWAY_SECONDS = 60, MAX_CATCH_UP_SECONDS = 120;

    private static final double CHECK_INTERVAL = 0.01;

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

    private static SimulatedPeerGroup peerGroup(
            VirtualScheduler scheduler, SimulatedPeerGroup.Spec spec, FaultPlan plan, long seed) {
        return new SimulatedPeerGroup(
                scheduler, spec, plan, number -> RouterIncarnation.sharing(SharingTrial.TYPES), seed);
    }

    // ---- updates ----

    /** Measures the seconds until an update has reached 99% of the routers, without packet loss and with 20% loss. */
    public void updateLatency() {
        for (double loss : new double[] {0, 0.2}) {
            var lossy = new SimulatedPeerGroup.Spec(spec.routers(), spec.medianLatency(), loss);
            updateLatency(
                    "urgent",
                    lossy,
                    ListedEndpoint.TYPE,
                    number -> new ListedEndpoint(
                            number, ListedEndpoint.EndpointState.DRAINING, 0, false, "a", 1, "10.0.0.1", 1, START));
            updateLatency(
                    "usual", lossy, SessionWrite.TYPE, number -> new SessionWrite(START + UPDATE_INTERVAL * number, 1));
        }
    }

    private interface ValueFactory<V> {
        V of(int number);
    }

    private <V> void updateLatency(
            String name, SimulatedPeerGroup.Spec lossy, ReplicatedType<V> type, ValueFactory<V> factory) {
        var scheduler = new VirtualScheduler(START);
        SimulatedPeerGroup peerGroup = peerGroup(scheduler, lossy, FaultPlan.NONE, seed);
        var random = new SplittableRandom(seed);
        double[][] arrivedAt = new double[UPDATES][lossy.routers()];
        peerGroup.routers().forEach(router -> router.store()
                .addListener(
                        type,
                        (key, value, now) -> arrivedAt[Integer.parseInt(key)][router.number()] = scheduler.now()));
        double[] sentAt = new double[UPDATES];
        for (int i = 0; i < UPDATES; i++) {
            int number = i;
            sentAt[i] = START + SETTLE_SECONDS + UPDATE_INTERVAL * (i + random.nextDouble() / 2);
            scheduler.scheduleAt(sentAt[i], () -> peerGroup
                    .routers()
                    .get(random.nextInt(lossy.routers()))
                    .put(type, Integer.toString(number), factory.of(number)));
        }
        scheduler.runUntil(START + SETTLE_SECONDS + UPDATE_INTERVAL * (UPDATES + 2));
        double[] delays = new double[UPDATES];
        for (int i = 0; i < UPDATES; i++) {
            double[] times = arrivedAt[i];
            Arrays.sort(times);
            delays[i] = times[0] == 0
                    ? Double.POSITIVE_INFINITY
                    : times[(int) Math.ceil(0.99 * times.length) - 1] - sentAt[i];
        }
        Arrays.sort(delays);
        line(
                "%s news, %d routers, %.0f%% lost: at 99%% of them after %.3f s at the median, %.3f s at the 99th percentile, "
                        + "%.3f s at the most",
                name,
                lossy.routers(),
                100 * lossy.loss(),
                delays[UPDATES / 2],
                delays[UPDATES * 99 / 100],
                delays[UPDATES - 1]);
    }

    // ---- traffic and processor time ----

    /**
     * Measures bytes, packets and processor time per router and second for several numbers of routers, without updates
     * and with some.
     */
    public void traffic() {
        for (int size : SIZES) {
            var scheduler = new VirtualScheduler(START);
            SimulatedPeerGroup peerGroup = peerGroup(
                    scheduler,
                    new SimulatedPeerGroup.Spec(size, spec.medianLatency(), spec.loss()),
                    FaultPlan.NONE,
                    seed);
            scheduler.runUntil(START + SETTLE_SECONDS);
            traffic("no news", peerGroup, scheduler);
            var generator = new GeneratedValues(SharingTrial.TYPES, seed);
            var random = new SplittableRandom(seed);
            for (double at = 0; at < COUNT_SECONDS; at += random.nextExponential() / UPDATE_RATE) {
                scheduler.scheduleAfter(
                        at, () -> put(generator.next(peerGroup.routers().get(random.nextInt(size)), scheduler.now())));
            }
            traffic("50 pieces of news a second", peerGroup, scheduler);
        }
    }

    private static <V> void put(GeneratedValues.GeneratedValue<V> generated) {
        generated.router().put(generated.type(), generated.key(), generated.value());
    }

    private void traffic(String label, SimulatedPeerGroup peerGroup, VirtualScheduler scheduler) {
        int size = peerGroup.routers().size();
        int from = (int) (scheduler.now() - START);
        long before = cpuNanos();
        scheduler.runUntil(scheduler.now() + COUNT_SECONDS);
        double spent = (cpuNanos() - before) / 1e9;
        TrafficMeter traffic = peerGroup.network().traffic();
        line(
                "%d routers, %s: %.0f bytes and %.1f packets sent a router a second, %d bytes the most of one in any second, "
                        + "%.3f%% of a core a router, network and all",
                size,
                label,
                traffic.bytes(from, from + COUNT_SECONDS),
                traffic.packets(from, from + COUNT_SECONDS),
                traffic.maxBytes(from, from + COUNT_SECONDS),
                100 * spent / COUNT_SECONDS / size);
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    // ---- catching up ----

    /**
     * Measures the seconds from the return of a router that was away for a minute until it has all {@code writes}
     * last-write positions written meanwhile.
     */
    public void catchUp(int writes) {
        catchUp("cut off", SharingFault.Kind.SPLIT, writes);
        catchUp("frozen", SharingFault.Kind.FREEZE, writes);
        catchUp("killed", SharingFault.Kind.KILL, writes);
    }

    private void catchUp(String label, SharingFault.Kind kind, int writes) {
        var scheduler = new VirtualScheduler(START);
        var plan = new FaultPlan(List.of(new SharingFault(SETTLE_SECONDS, kind, List.of(0), AWAY_SECONDS, 0)));
        SimulatedPeerGroup peerGroup = peerGroup(scheduler, spec, plan, seed);
        for (int i = 0; i < writes; i++) {
            int number = i;
            double at = START + SETTLE_SECONDS + (AWAY_SECONDS - 1) * i / writes;
            scheduler.scheduleAt(at, () -> peerGroup
                    .routers()
                    .get(1 + number % (spec.routers() - 1))
                    .put(SessionWrite.TYPE, "s" + number, new SessionWrite(at, 1)));
        }
        double returnedAt = START + SETTLE_SECONDS + AWAY_SECONDS;
        scheduler.runUntil(returnedAt);
        PeeredRouter away = peerGroup.routers().get(0);
        double completeAfter = Double.NaN;
        double certainAfter = Double.NaN;
        while (Double.isNaN(certainAfter) && scheduler.now() < returnedAt + MAX_CATCH_UP_SECONDS) {
            scheduler.runUntil(scheduler.now() + CHECK_INTERVAL);
            completeAfter = Double.isNaN(completeAfter) && away.store().size(SessionWrite.TYPE) >= writes
                    ? scheduler.now() - returnedAt
                    : completeAfter;
            certainAfter = !Double.isNaN(completeAfter) && away.store().completeUpTo(away.now()) > returnedAt
                    ? scheduler.now() - returnedAt
                    : Double.NaN;
        }
        int from = (int) (returnedAt - START);
        TrafficMeter traffic = peerGroup.network().traffic();
        line(
                "%d routers, one %s for %.0f s: all %d marks after %.2f s, certain of them after %.2f s; %d bytes the most that any "
                        + "sent in a second meanwhile",
                spec.routers(),
                label,
                AWAY_SECONDS,
                writes,
                completeAfter,
                certainAfter,
                traffic.maxBytes(from, from + 1 + (int) Math.ceil(certainAfter)));
    }
}
