package clayhook.cli;

import clayhook.config.ConfigurationException;
import clayhook.config.OperatorConfiguration;
import clayhook.config.OperatorConfigurationReader;
import clayhook.config.RouterConfiguration;
import clayhook.log.Log;
import clayhook.serve.ReloadSignal;
import clayhook.serve.Server;
import clayhook.serve.ServerLifecycle;
import clayhook.transport.Transport;
import clayhook.warmup.WarmUp;
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
        var life = new ServerLifecycle();
        try {
            ReloadSignal.install(reloads::release);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(life)));
            RouterConfiguration configuration = RouterConfiguration.fromEnvironment(System.getenv());
            OperatorConfiguration operator = readOperatorConfiguration(config, configuration);
            warmUp(configuration);
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
        } catch (ConfigurationException e) {
            return Main.wrong(e);
        } catch (Exception e) {
            System.err.println("clayhook: cannot start: " + e);
            return Main.FAILED;
        }
    }

    private static void shutDown(ServerLifecycle life) {
        try {
            life.shutDown();
        } catch (Exception e) {
            Log.error("the end was cut short", e);
        }
    }

    private static OperatorConfiguration readOperatorConfiguration(Path config, RouterConfiguration configuration)
            throws ConfigurationException {
        return config == null
                ? OperatorConfiguration.DEFAULTS
                : OperatorConfigurationReader.read(
                        config, configuration.settings().requestClasses());
    }

    /** A router that cannot rehearse is only slow at first. */
    private static void warmUp(RouterConfiguration configuration) throws InterruptedException {
        boolean carried = false;
        try {
            carried = WarmUp.run(configuration.settings(), Transport.unixSockets(), configuration.hasServedBefore());
        } catch (IOException e) {
            Log.warn("rehearsal", "no folder for its sockets: " + e);
        }
        if (!carried) {
            Log.info("rehearsing within the process: its sockets carry nothing here");
            WarmUp.run(configuration.settings(), Transport.inProcess(), configuration.hasServedBefore());
        }
    }

    private static void reload(Server server, Path config) {
        try {
            RouterConfiguration fresh = RouterConfiguration.fromEnvironment(System.getenv());
            server.reload(fresh, readOperatorConfiguration(config, fresh));
        } catch (ConfigurationException e) {
            Log.warn("reload", "reload: the configuration stays as it was: " + e.getMessage());
        } catch (RuntimeException e) {
            Log.error("a reload failed", e);
        }
    }
}
