package clayhook.cli;

import clayhook.simulator.SimulatorAdapter;
import clayhook.simulator.SimulatorProtocolException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

@Command(
        name = "adapter",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Speaks the simulator's wire on standard input and output.")
final class AdapterCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        return run();
    }

    static int run() {
        var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        var out = new PrintWriter(System.out, false, StandardCharsets.UTF_8);
        try {
            new SimulatorAdapter(in, out).run();
            return Main.EXIT_SUCCESS;
        } catch (SimulatorProtocolException | IOException e) {
            System.err.println("clayhook: " + e.getMessage());
            return Main.EXIT_FAILURE;
        }
    }
}
