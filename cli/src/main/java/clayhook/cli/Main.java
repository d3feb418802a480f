package clayhook.cli;

import clayhook.Settings;
import clayhook.config.BadConfig;
import clayhook.config.Configuration;
import clayhook.config.Json;
import clayhook.log.Log;
import clayhook.rehearsal.Rehearsal;
import clayhook.serve.Hangup;
import clayhook.serve.Server;
import clayhook.sim.Adapter;
import clayhook.sim.BadInput;
import clayhook.transport.Transport;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Semaphore;

/** The command line. */
public final class Main {
    /** Settings of every kind of command group. */
    private static final String REHEARSED = """
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

    private Main() {
    }

    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> serve();
            case "adapter" -> System.exit(adapter());
            case "rehearse" -> System.exit(rehearse());
            default -> System.exit(usage());
        }
    }

    private static int usage() {
        System.err.println("usage: java -jar clayhook.jar adapter|serve|rehearse");
        System.err.println("  adapter   speak the simulator's wire on standard input and output");
        System.err.println("  serve     route on sockets, as the file named by LB_CONFIG says");
        System.err.println("  rehearse  serve stand-ins for a moment; the build keeps the classes that this loads");
        return 2;
    }

    /** A router that cannot rehearse, for want of a folder to write to, is only slow at first. */
    private static void rehearse(Configuration configuration) throws InterruptedException {
        try {
            Rehearsal.run(configuration.settings(), Transport.rehearsal(), configuration.awaited());
        } catch (IOException e) {
            Log.warn("rehearsal", "no rehearsal: " + e);
        }
    }

    /** Not for service: the build makes the archive of classes from what this loads. */
    private static int rehearse() {
        try {
            Hangup.handle(() -> { });
            Settings settings = Configuration.of(Json.parse(REHEARSED), Map.of()).settings();
            Rehearsal.run(settings, Transport.rehearsal(), false);
            Rehearsal.run(settings, Transport.tcp(), false);
            return 0;
        } catch (Exception e) {
            System.err.println("clayhook: " + e);
            return 1;
        }
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

    private static void reload(Server server) {
        try {
            server.reload(Configuration.read(System.getenv()));
        } catch (BadConfig e) {
            Log.warn("reload", "reload: the configuration stays as it was: " + e.getMessage());
        } catch (RuntimeException e) {
            Log.fault("a reload failed", e);
        }
    }

    /** Serves until the process is told to end, and reads the configuration again when it is told that. */
    private static void serve() {
        var reloads = new Semaphore(0);
        try {
            Hangup.handle(reloads::release);
            Configuration configuration = Configuration.read(System.getenv());
            rehearse(configuration);
            Log.info("serving as " + configuration.name() + " at " + configuration.listen());
            var server = new Server(Transport.tcp(), configuration);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    server.end();
                } catch (Exception e) {
                    Log.fault("the end was cut short", e);
                }
            }));
            while (true) {
                reloads.acquire();
                reloads.drainPermits(); // several in a row are one, as the file is read after them
                reload(server);
            }
        } catch (BadConfig e) {
            System.err.println("clayhook: " + e.getMessage());
            System.exit(2);
        } catch (Exception e) {
            System.err.println("clayhook: cannot start: " + e);
            System.exit(1);
        }
    }
}
