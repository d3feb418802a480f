package clayhook.lab.sharing;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import clayhook.fleet.ReplicatedType;
import clayhook.lab.model.Scheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** All routers that share state, the network between them, and the faults injected. */
public final class SimulatedPeerGroup {
    /** Number of seed routers that the configuration names, through which the others join. */
    private static final int MAX_SEEDS = 3;

    /**
     * Size and network of the group.
     *
     * @param medianLatency median latency of a packet in seconds
     * @param loss fraction of packets lost without any fault
     */
    public record Spec(int routers, double medianLatency, double loss) {}

    private final SimulatedNetwork network;
    private final List<PeeredRouter> routers = new ArrayList<>();

    /**
     * Starts all routers now; the times of the plan count from now.
     *
     * @param factories the factory of the incarnations of each router, by router number
     */
    public SimulatedPeerGroup(
            Scheduler scheduler,
            Spec spec,
            FaultPlan plan,
            IntFunction<RouterIncarnation.Factory> factories,
            long seed) {
        double start = scheduler.now();
        network = new SimulatedNetwork(scheduler, spec.routers(), spec.medianLatency(), spec.loss(), seed);
        List<Address> seeds = IntStream.range(0, Math.min(MAX_SEEDS, spec.routers()))
                .mapToObj(PeeredRouter::address)
                .toList();
        for (int i = 0; i < spec.routers(); i++) {
            routers.add(new PeeredRouter(i, scheduler, network, factories.apply(i), seeds, seed * 31 + i));
        }
        plan.faults().forEach(fault -> {
            scheduler.scheduleAt(start + fault.at(), () -> begin(fault));
            scheduler.scheduleAt(start + fault.end(), () -> end(fault));
        });
    }

    public List<PeeredRouter> routers() {
        return routers;
    }

    public SimulatedNetwork network() {
        return network;
    }

    private void forAffectedRouters(SharingFault fault, Consumer<PeeredRouter> action) {
        routers.stream().filter(router -> fault.affects(router.number())).forEach(action);
    }

    private void begin(SharingFault fault) {
        switch (fault.kind()) {
            case FREEZE -> forAffectedRouters(fault, PeeredRouter::freeze);
            case KILL -> forAffectedRouters(fault, PeeredRouter::kill);
            case CLOCK_OFF -> forAffectedRouters(fault, router -> router.startWithClock(fault.amount()));
            case CLOCK_DRIFT -> forAffectedRouters(fault, router -> router.drift(fault.amount()));
            default -> network.startFault(fault);
        }
    }

    private void end(SharingFault fault) {
        switch (fault.kind()) {
            case FREEZE -> forAffectedRouters(fault, PeeredRouter::resume);
            case KILL -> forAffectedRouters(fault, PeeredRouter::restart);
            case CLOCK_OFF -> forAffectedRouters(fault, router -> router.startWithClock(-fault.amount()));
            case CLOCK_DRIFT -> forAffectedRouters(fault, router -> router.drift(0));
            default -> network.endFault(fault);
        }
    }

    // ---- agreement ----

    private static Set<Member> seen(PeeredRouter router) {
        var seen = router.membership().livePeers().stream().map(Peer::member).collect(Collectors.toSet());
        seen.add(router.membership().self().member());
        return seen;
    }

    /**
     * Describes the first router whose live members or whose copy of one of the types differs; null if all routers
     * agree.
     */
    public String disagreement(List<ReplicatedType<?>> types) {
        List<PeeredRouter> awake = routers.stream().filter(PeeredRouter::awake).toList();
        Set<Member> liveMembers = awake.stream()
                .map(router -> router.membership().self().member())
                .collect(Collectors.toSet());
        for (PeeredRouter router : awake) {
            Set<Member> seen = seen(router);
            if (!seen.equals(liveMembers)) {
                return router + " sees " + seen.size() + " members of " + liveMembers.size() + ", "
                        + liveMembers.stream()
                                .filter(member -> !seen.contains(member))
                                .findFirst()
                                .map(m -> "not " + m)
                                .orElse("too many");
            }
        }
        for (ReplicatedType<?> type : types) {
            PeeredRouter first = awake.get(0);
            long digest = first.store().digest(type, first.now());
            for (PeeredRouter router : awake) {
                if (router.store().digest(type, router.now()) != digest) {
                    return router + " has another copy of " + type.name() + " than " + first + ": "
                            + router.store().size(type) + " entries, "
                            + first.store().size(type);
                }
            }
        }
        return null;
    }
}
