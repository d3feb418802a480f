package clayhook.lab;

import clayhook.lab.model.FleetSpec;
import clayhook.lab.sharing.SharingMetrics;
import clayhook.lab.sharing.SharingPlay;
import clayhook.lab.sharing.SharingSweep;
import clayhook.lab.sharing.SharingTrial;
import clayhook.lab.sharing.SimulatedPeerGroup;
import java.io.PrintStream;

/** Runs the part of an experiment that tests or measures state sharing between routers. */
public final class SharingPlays {
    private SharingPlays() {}

    /** Runs the task, prints the results, and returns whether all conditions held. */
    public static boolean play(Experiment experiment, PrintStream out) {
        Experiment.Peers peers = experiment.peers();
        SharingPlay play = peers.play();
        FleetSpec fleet = experiment.variants().get(0).fleet();
        var peerGroup = new SimulatedPeerGroup.Spec(fleet.routers(), peers.medianLatency(), peers.loss());
        var metrics = new SharingMetrics(peerGroup, experiment.seeds().get(0), out::println);
        switch (play.task()) {
            case NEWS -> metrics.updateLatency();
            case TRAFFIC -> metrics.traffic();
            case CATCH_UP -> metrics.catchUp(play.entries());
            default -> {
                var spec = new SharingTrial.Spec(peerGroup, experiment.seconds(), play.settle(), fleet.rate());
                SharingSweep.Result result = new SharingSweep(spec, SharingTrial.TYPES, peers.faults(), play.faults())
                        .play(experiment.seeds());
                result.shrunkFailures().forEach(out::println);
                out.println(result);
                return result.failed() == 0;
            }
        }
        return true;
    }
}
