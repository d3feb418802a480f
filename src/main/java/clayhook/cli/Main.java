package clayhook.cli;

import clayhook.config.BadConfig;
import clayhook.config.Configuration;
import clayhook.serve.Log;
import clayhook.serve.Server;
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
        if (args.length == 1 && args[0].equals("serve")) {
            serve();
        } else {
            System.exit(args.length == 1 && args[0].equals("adapter") ? adapter() : usage());
        }
    }

    private static int usage() {
        System.err.println("usage: java -jar clayhook.jar adapter|serve");
        System.err.println("  adapter   speak the simulator's wire on standard input and output");
        System.err.println("  serve     route on sockets, as the file named by LB_CONFIG says");
        return 2;
    }

    private static int adapter() {
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

    /** Serves until the process is told to end; the thread of the router keeps it running. */
    private static void serve() {
        try {
            var server = new Server(Configuration.read(System.getenv()));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    server.end();
                } catch (Exception e) {
                    Log.fault("the end was cut short", e);
                }
            }));
        } catch (BadConfig e) {
            System.err.println("clayhook: " + e.getMessage());
            System.exit(2);
        } catch (Exception e) {
            System.err.println("clayhook: cannot start: " + e);
            System.exit(1);
        }
    }
}
