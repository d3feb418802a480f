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
    private static final int SEEDS = 3;

    /**
     * Size and network of the group.
     *
     * @param way median latency of a packet in seconds
     * @param loss fraction of packets lost without any fault
     */
    public record Spec(int routers, double way, double loss) {}

    private final SimulatedNetwork network;
    private final List<PeeredRouter> routers = new ArrayList<>();

    /**
     * Starts all routers now; the times of the plan count from now.
     *
     * @param births the factory of the incarnations of each router, by router number
     */
    public SimulatedPeerGroup(
            Scheduler scheduler, Spec spec, FaultPlan plan, IntFunction<RouterIncarnation.Factory> births, long seed) {
        double start = scheduler.now();
        network = new SimulatedNetwork(scheduler, spec.routers(), spec.way(), spec.loss(), seed);
        List<Address> seeds = IntStream.range(0, Math.min(SEEDS, spec.routers()))
                .mapToObj(PeeredRouter::address)
                .toList();
        for (int i = 0; i < spec.routers(); i++) {
            routers.add(new PeeredRouter(i, scheduler, network, births.apply(i), seeds, seed * 31 + i));
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

    private void struck(SharingFault fault, Consumer<PeeredRouter> by) {
        routers.stream().filter(router -> fault.strikes(router.number())).forEach(by);
    }

    private void begin(SharingFault fault) {
        switch (fault.kind()) {
            case FREEZE -> struck(fault, PeeredRouter::stand);
            case KILL -> struck(fault, PeeredRouter::die);
            case CLOCK_OFF -> struck(fault, router -> router.startWithClock(fault.amount()));
            case CLOCK_DRIFT -> struck(fault, router -> router.drift(fault.amount()));
            default -> network.begin(fault);
        }
    }

    private void end(SharingFault fault) {
        switch (fault.kind()) {
            case FREEZE -> struck(fault, PeeredRouter::goOn);
            case KILL -> struck(fault, PeeredRouter::comeBack);
            case CLOCK_OFF -> struck(fault, router -> router.startWithClock(-fault.amount()));
            case CLOCK_DRIFT -> struck(fault, router -> router.drift(0));
            default -> network.end(fault);
        }
    }

    // ---- agreement ----

    private static Set<Member> seen(PeeredRouter by) {
        var seen = by.roster().livePeers().stream().map(Peer::member).collect(Collectors.toSet());
        seen.add(by.roster().self().member());
        return seen;
    }

    /**
     * Describes the first router whose live members or whose copy of one of the types differs; null if all routers
     * agree.
     */
    public String disagreement(List<ReplicatedType<?>> kinds) {
        List<PeeredRouter> awake = routers.stream().filter(PeeredRouter::awake).toList();
        Set<Member> living =
                awake.stream().map(router -> router.roster().self().member()).collect(Collectors.toSet());
        for (PeeredRouter router : awake) {
            Set<Member> seen = seen(router);
            if (!seen.equals(living)) {
                return router + " sees " + seen.size() + " members of " + living.size() + ", "
                        + living.stream()
                                .filter(member -> !seen.contains(member))
                                .findFirst()
                                .map(m -> "not " + m)
                                .orElse("too many");
            }
        }
        for (ReplicatedType<?> kind : kinds) {
            PeeredRouter first = awake.get(0);
            long digest = first.shared().digest(kind, first.now());
            for (PeeredRouter router : awake) {
                if (router.shared().digest(kind, router.now()) != digest) {
                    return router + " has another copy of " + kind.name() + " than " + first + ": "
                            + router.shared().size(kind) + " entries, "
                            + first.shared().size(kind);
                }
            }
        }
        return null;
    }
}
