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

/** The sub-command {@code serve}: warms up, serves, reloads on SIGHUP and shuts down gracefully on SIGTERM. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "Routes on sockets, as the file named by LB_CONFIG says and the operator's own file.")
final class ServeCommand implements Callable<Integer> {
    /** The minimum time that the virtual machine takes, on half a core, before it runs this class. */
    private static final double MIN_MACHINE_START_SECONDS = 1;

    private static final double NANOS_PER_SECOND = 1e9;

    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "the operator's file; deploy/clayhook.toml shows every key")
    private Path config;

    @Override
    public Integer call() {
        return run(config);
    }

    /**
     * Serves until the process receives a termination signal. The shutdown hook then ends the process, and this method
     * does not return.
     *
     * @param config the operator's configuration file; null for the defaults
     * @return the exit code if the router cannot start, or if shutdown is requested before it has started
     */
    static int run(Path config) {
        long startNanos = System.nanoTime();
        var reloadRequests = new Semaphore(0);
        var lifecycle = new ServerLifecycle();
        try {
            ReloadSignal.install(reloadRequests::release);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(lifecycle)));
            RouterConfiguration configuration = RouterConfiguration.fromEnvironment(System.getenv());
            OperatorConfiguration operator = readOperatorConfiguration(config, configuration);
            warmUp(configuration);
            Log.info("serving as " + configuration.name() + " at " + configuration.listen()
                    + (operator.statements() == null ? "" : ", statements of any kind"));
            Server server = lifecycle.start(
                    () -> new Server(Transport.tcp(), configuration, operator, processAgeSeconds(startNanos)));
            if (server == null) {
                return Main.EXIT_SUCCESS;
            }
            while (true) {
                reloadRequests.acquire();
                // One reload covers all earlier signals because it reads the files after them.
                reloadRequests.drainPermits();
                reload(server, config);
            }
        } catch (ConfigurationException e) {
            return Main.reportInvalidConfiguration(e);
        } catch (Exception e) {
            System.err.println("clayhook: cannot start: " + e);
            return Main.EXIT_FAILURE;
        }
    }

    /**
     * Returns the age of the process in seconds, which is also used as the age of the endpoint list in its
     * configuration. If many processes start at once, the start of the virtual machine alone takes seconds. Without
     * that time, the endpoint list would count as newer than it is and be used for too long.
     */
    private static double processAgeSeconds(long startNanos) {
        double secondsSinceRun = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        return Math.max(
                MIN_MACHINE_START_SECONDS + secondsSinceRun,
                ProcessAge.seconds().orElse(0));
    }

    private static void shutDown(ServerLifecycle lifecycle) {
        try {
            lifecycle.shutDown();
        } catch (Exception e) {
            Log.error("the shutdown failed", e);
        }
    }

    private static OperatorConfiguration readOperatorConfiguration(Path config, RouterConfiguration configuration)
            throws ConfigurationException {
        return config == null
                ? OperatorConfiguration.DEFAULTS
                : OperatorConfigurationReader.read(
                        config, configuration.settings().requestClasses());
    }

    /**
     * Warms up on Unix domain sockets if available, else in process. After a failure, only the first requests are
     * slower.
     */
    private static void warmUp(RouterConfiguration configuration) throws InterruptedException {
        boolean connected = false;
        try {
            connected = WarmUp.run(configuration.settings(), Transport.unixSockets(), configuration.hasServedBefore());
        } catch (IOException e) {
            Log.warn("warm-up", "warm-up: no folder for its sockets: " + e);
        }
        if (!connected) {
            Log.info("warming up within the process: sockets are not available here");
            WarmUp.run(configuration.settings(), Transport.inProcess(), configuration.hasServedBefore());
        }
    }

    private static void reload(Server server, Path config) {
        try {
            RouterConfiguration configuration = RouterConfiguration.fromEnvironment(System.getenv());
            server.reload(configuration, readOperatorConfiguration(config, configuration));
        } catch (ConfigurationException e) {
            Log.warn("reload", "reload: the configuration is unchanged: " + e.getMessage());
        } catch (RuntimeException e) {
            Log.error("the reload failed", e);
        }
    }
}
