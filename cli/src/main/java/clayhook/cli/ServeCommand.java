package clayhook.cli;

import clayhook.config.BadConfig;
import clayhook.config.Configuration;
import clayhook.config.Operator;
import clayhook.config.OperatorFile;
import clayhook.log.Log;
import clayhook.rehearsal.WarmUp;
import clayhook.serve.Hangup;
import clayhook.serve.Lifecycle;
import clayhook.serve.Server;
import clayhook.transport.Transport;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.Semaphore;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Routes on sockets, as the file named by LB_CONFIG says and the operator's own file.")
final class ServeCommand implements Callable<Integer> {
    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "the operator's file; deploy/clayhook.toml shows every key")
    private Path config;

    @Override
    public Integer call() {
        return run(config);
    }

    /** Serves until the process is told to end, and reads the configuration again when it is told that. */
    static int run(Path config) {
        var reloads = new Semaphore(0);
        var life = new Lifecycle();
        try {
            Hangup.handle(reloads::release);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> end(life)));
            Configuration configuration = Configuration.read(System.getenv());
            Operator operator = operator(config, configuration);
            rehearse(configuration);
            Log.info("serving as " + configuration.name() + " at " + configuration.listen()
                    + (operator.statements() == null ? "" : ", statements of any kind"));
            Server server = life.start(() -> new Server(Transport.tcp(), configuration, operator));
            if (server == null) {
                return Main.DONE;
            }
            while (true) {
                reloads.acquire();
                reloads.drainPermits(); // several in a row are one, as the files are read after them
                reload(server, config);
            }
        } catch (BadConfig e) {
            return Main.wrong(e);
        } catch (Exception e) {
            System.err.println("clayhook: cannot start: " + e);
            return Main.FAILED;
        }
    }

    private static void end(Lifecycle life) {
        try {
            life.end();
        } catch (Exception e) {
            Log.fault("the end was cut short", e);
        }
    }

    private static Operator operator(Path config, Configuration configuration) throws BadConfig {
        return config == null
                ? Operator.OFF
                : OperatorFile.read(config, configuration.settings().requestClasses());
    }

    /** A router that cannot rehearse is only slow at first. */
    private static void rehearse(Configuration configuration) throws InterruptedException {
        boolean carried = false;
        try {
            carried = WarmUp.run(configuration.settings(), Transport.rehearsal(), configuration.awaited());
        } catch (IOException e) {
            Log.warn("rehearsal", "no folder for its sockets: " + e);
        }
        if (!carried) {
            Log.info("rehearsing within the process: its sockets carry nothing here");
            WarmUp.run(configuration.settings(), Transport.withinProcess(), configuration.awaited());
        }
    }

    private static void reload(Server server, Path config) {
        try {
            Configuration fresh = Configuration.read(System.getenv());
            server.reload(fresh, operator(config, fresh));
        } catch (BadConfig e) {
            Log.warn("reload", "reload: the configuration stays as it was: " + e.getMessage());
        } catch (RuntimeException e) {
            Log.fault("a reload failed", e);
        }
    }
}
