package clayhook.cli;

import clayhook.RoutingSettings;
import clayhook.config.RouterConfiguration;
import clayhook.json.Json;
import clayhook.serve.ReloadSignal;
import clayhook.transport.Transport;
import clayhook.warmup.WarmUp;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Serves stand-ins for a moment; the build keeps the classes that this loads.")
final class RehearseCommand implements Callable<Integer> {
    /** A configuration with command groups of every kind. */
    private static final String CONFIGURATION =
            """
            {"name": "rehearsal", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "1", "settings": {
            "balancers": 1, "zone": "a", "discovery": "subscribe", "report": {"how": "inline"},
            "domain": {"read_level": ["bounded", "any", "write"], "max_age": [200000000, 0, 0],
            "when_behind": "wait", "write_marks": "carried"}, "limits": {"most_tries": 3},
            "grades": [
            {"name": "bounded", "effect": "idempotent", "aim": 250000000, "hard_limit": 500000000},
            {"name": "any", "effect": "idempotent", "aim": 250000000, "hard_limit": 500000000},
            {"name": "write", "effect": "deduplicated", "group": "cell", "aim": 250000000, "hard_limit": 500000000,
            "repeat_window": 1000000000}]}}
            """;

    @Override
    public Integer call() {
        return run();
    }

    /**
     * Runs the warm-up once per transport. The build creates the class data archive from the classes that this loads.
     */
    static int run() {
        try {
            ReloadSignal.install(() -> {});
            RoutingSettings settings = RouterConfiguration.fromJson(Json.parse(CONFIGURATION), Map.of())
                    .settings();
            WarmUp.run(settings, Transport.unixSockets(), false);
            WarmUp.run(settings, Transport.tcp(), false);
            WarmUp.run(settings, Transport.inProcess(), false);
            return Main.EXIT_SUCCESS;
        } catch (Exception e) {
            System.err.println("clayhook: " + e);
            return Main.EXIT_FAILURE;
        }
    }
}
