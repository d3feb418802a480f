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
        var company = new SimulatedPeerGroup.Spec(fleet.routers(), peers.way(), peers.loss());
        var figures = new SharingMetrics(company, experiment.seeds().get(0), out::println);
        switch (play.what()) {
            case NEWS -> figures.news();
            case TRAFFIC -> figures.traffic();
            case CATCH_UP -> figures.catchUp(play.entries());
            default -> {
                var spec = new SharingTrial.Spec(company, experiment.seconds(), play.settle(), fleet.rate());
                SharingSweep.Result result = new SharingSweep(spec, SharingTrial.KINDS, peers.faults(), play.faults())
                        .play(experiment.seeds());
                result.found().forEach(out::println);
                out.println(result);
                return result.failed() == 0;
            }
        }
        return true;
    }
}
