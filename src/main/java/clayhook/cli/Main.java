package clayhook.cli;

import clayhook.sim.Adapter;
import clayhook.sim.BadInput;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;

/** The command line. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static int run(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("usage: java -jar clayhook.jar adapter");
            System.err.println("  adapter   speak the simulator's wire on standard input and output");
            return 2;
        }
        var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        var out = new PrintWriter(System.out, false, StandardCharsets.UTF_8);
        try {
            new Adapter(in, out).run();
            return 0;
        } catch (BadInput | IOException e) {
            System.err.println("clayhook: " + e.getMessage());
            return 1;
        }
    }
}
