package clayhook.trials;

import clayhook.CommandGroup.Effect;
import clayhook.CommandGroup.ReadLevel;
import clayhook.CommandGroup.Scope;
import clayhook.CommandGroup;
import clayhook.transport.Transport;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** A fleet of router processes with nodes, discovery, clients and the relay between routers: begun, troubled, judged. */
public final class Trial implements AutoCloseable {
    public static final CommandGroup ANY = group("any", Effect.REPLAYABLE, ReadLevel.ANY);
    public static final CommandGroup BOUNDED = group("bounded", Effect.REPLAYABLE, ReadLevel.BOUNDED);
    public static final CommandGroup SESSION = group("session", Effect.REPLAYABLE, ReadLevel.SESSION);
    public static final CommandGroup WRITE = group("write", Effect.KEYED, ReadLevel.WRITE);
    public static final CommandGroup CHARGE = group("charge", Effect.MUTATING, ReadLevel.WRITE);
    public static final List<CommandGroup> GROUPS = List.of(ANY, BOUNDED, SESSION, WRITE, CHARGE);
    private static final List<String> ZONES = List.of("a", "b");
    private static final double OVERLOAD = 3, OVERLOAD_FOR = 1;
    /** Longer than any start or answer takes, even where several such trials share a machine. */
    public static final double PATIENCE = 60;
    private static final long LOOK_MS = 10;
    /** Below the ports that machines give to connections, so that a router that returns finds its own still free. */
    private static final int FIRST_PORT = 20_000, PORTS = 12_000;
    private static final AtomicInteger PORT = new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % PORTS));

    private final Path folder = Files.createTempDirectory("trial");
    private final Transport nodesLoop = Transport.tcp();
    private final Transport clientsLoop = Transport.tcp();
    private final Witness witness = new Witness(OVERLOAD, OVERLOAD_FOR);
    private final Cluster cluster;
    private final List<RouterProcess> routers = new ArrayList<>();
    private final List<Directory> directories = new ArrayList<>();
    private final Relay relay;
    private final long seed;
    private final Thread atExit = new Thread(() -> routers.forEach(RouterProcess::kill));
    private final List<Thread> load = new ArrayList<>();
    private volatile boolean loaded;

    private static CommandGroup group(String name, Effect effect, ReadLevel level) {
        // Bounds and targets far beyond what a busy machine takes; the verdict must not hang on its speed.
        return new CommandGroup(name, effect, level, 1, 2, 1, 1, Scope.GROUP, 20, 1);
    }

    /**
     * Begins the processes, named r0, r1 and so on, and returns when all take commands.
     *
     * @param jar the program
     * @param sharing tables and keys of the operator's file beside what says who and where; null leaves sharing off
     * @param seed of the relay, the load and the routers
     */
    public Trial(Path jar, int count, String sharing, long seed) throws IOException, InterruptedException {
        this.seed = seed;
        Runtime.getRuntime().addShutdownHook(atExit);
        cluster = new Cluster(nodesLoop, 1, 3, ZONES, GROUPS, witness);
        List<InetSocketAddress> addresses = IntStream.range(0, count).mapToObj(i -> spare()).toList();
        relay = new Relay(addresses, seed);
        for (int i = 0; i < count; i++) {
            var router = new RouterProcess("r" + i, addresses.get(i), jar, folder.resolve("r" + i));
            var directory = new Directory(nodesLoop, cluster, router.name());
            router.configure(platform(router, directory), operator(i, sharing));
            routers.add(router);
            directories.add(directory);
            router.start();
        }
        for (RouterProcess router : routers) {
            greet(router);
        }
    }

    /** A port for both datagrams and connections that nobody uses now. */
    private static InetSocketAddress spare() {
        while (true) {
            var address = new InetSocketAddress(InetAddress.getLoopbackAddress(),
                    FIRST_PORT + PORT.getAndIncrement() % PORTS);
            try (var datagrams = new DatagramSocket(address); var connections = new ServerSocket()) {
                connections.bind(datagrams.getLocalSocketAddress());
                return address;
            } catch (IOException e) {
                // taken; the next one
            }
        }
    }

    private static String text(InetSocketAddress address) {
        return '"' + address.getAddress().getHostAddress() + ':' + address.getPort() + '"';
    }

    private String platform(RouterProcess router, Directory directory) {
        String grades = GROUPS.stream().map(Trial::grade).collect(Collectors.joining(","));
        String levels = GROUPS.stream().map(g -> '"' + g.level().name().toLowerCase(Locale.ROOT) + '"').collect(Collectors.joining(","));
        String ages = GROUPS.stream().map(g -> nanos(g.bound())).collect(Collectors.joining(","));
        return "{\"name\":\"" + router.name() + "\",\"listen\":" + text(router.address()) + ",\"discovery\":"
                + text(directory.address()) + ",\"seed\":\"" + Long.toHexString(seed + directories.size()) + "\",\"limits\":{"
                + "\"sockets\":512},\"known\":" + cluster.list() + ",\"settings\":{\"balancers\":" + relay.routers() + ",\"zone\":\""
                + ZONES.get(directories.size() % ZONES.size()) + "\",\"grades\":[" + grades + "],\"domain\":{\"read_level\":["
                + levels + "],\"max_age\":[" + ages + "],\"when_behind\":\"off\",\"write_marks\":\"carried\"},\"limits\":{"
                + "\"most_tries\":3},\"rules\":{\"start_capacity\":" + ClusterNode.COLD_SHARE + ",\"warm_after\":"
                + nanos(ClusterNode.WARM_AFTER) + ",\"overload_factor\":" + OVERLOAD + ",\"overload_for\":" + nanos(OVERLOAD_FOR)
                + "}}}";
    }

    private static String grade(CommandGroup group) {
        String effect = switch (group.effect()) {
            case REPLAYABLE -> "idempotent";
            case KEYED -> "deduplicated";
            case MUTATING -> "at_most_once";
        };
        return "{\"name\":\"" + group.name() + "\",\"effect\":\"" + effect + "\",\"aim\":" + nanos(group.responseTarget())
                + ",\"hard_limit\":" + nanos(group.clientTimeout()) + ",\"group\":\"cell\",\"repeat_window\":"
                + nanos(group.repeatWindow()) + "}";
    }

    private static String nanos(double seconds) {
        return Long.toString((long) (seconds * 1e9));
    }

    private String operator(int router, String sharing) {
        String nodes = "[nodes]\nuser = \"r" + router + "\"\n";
        String seeds = IntStream.of(router + 1, router + 2).mapToObj(i -> text(relay.address(i % relay.routers())))
                .collect(Collectors.joining(", "));
        return sharing == null ? nodes : nodes + "[sharing]\nenabled = true\nlisten = " + text(relay.behind(router))
                + "\nadvertise = " + text(relay.address(router)) + "\nseeds = [" + seeds + "]\n" + sharing;
    }

    /** Waits until it takes commands. */
    private void greet(RouterProcess router) throws InterruptedException {
        boolean greeted = false;
        for (double until = Witness.now() + PATIENCE; !greeted && Witness.now() < until;) {
            if (!router.runs()) {
                break;
            }
            greeted = Caller.greeted(clientsLoop, router.address(), PATIENCE);
            Thread.sleep(LOOK_MS);
        }
        if (!greeted) {
            throw new IllegalStateException(router.name() + " does not take commands: " + router.since(0));
        }
    }

    // ---- its parts ----

    public List<RouterProcess> routers() {
        return routers;
    }

    public Relay relay() {
        return relay;
    }

    public Cluster cluster() {
        return cluster;
    }

    /** As that router sees it. */
    public Directory directory(int router) {
        return directories.get(router);
    }

    public Witness witness() {
        return witness;
    }

    /** A new session. */
    public Caller caller() {
        return new Caller(clientsLoop, witness);
    }

    // ---- faults ----

    public void inflict(Fault fault) throws IOException, InterruptedException {
        if (fault instanceof Fault.Stopped stopped) {
            witness.down(routers.get(stopped.router()).name());
            routers.get(stopped.router()).signal("STOP");
        } else if (fault instanceof Fault.Killed killed) {
            killed.routers().forEach(i -> witness.down(routers.get(i).name()));
            killed.routers().forEach(i -> routers.get(i).kill());
            for (int router : killed.routers()) {
                routers.get(router).ended();
            }
        } else {
            links(fault, true);
        }
    }

    /** Ends it; returns when those that had gone take commands again. */
    public void heal(Fault fault) throws IOException, InterruptedException {
        if (fault instanceof Fault.Stopped stopped) {
            routers.get(stopped.router()).signal("CONT");
            witness.up(routers.get(stopped.router()).name());
        } else if (fault instanceof Fault.Killed killed) {
            for (int router : killed.routers()) {
                routers.get(router).start();
            }
            for (int router : killed.routers()) {
                greet(routers.get(router));
                witness.up(routers.get(router).name());
            }
        } else {
            links(fault, false);
        }
    }

    private void links(Fault fault, boolean begins) {
        for (int from = 0; from < routers.size(); from++) {
            for (int to = 0; to < routers.size(); to++) {
                Trouble trouble = trouble(fault, from, to);
                if (trouble != null) {
                    relay.link(from, to).trouble(begins ? trouble : Trouble.NONE);
                }
            }
        }
    }

    /** What it does to that link; null for nothing. */
    private static Trouble trouble(Fault fault, int from, int to) {
        if (fault instanceof Fault.Everywhere everywhere) {
            return everywhere.trouble();
        } else if (fault instanceof Fault.Split split) {
            return split.side().contains(from) != split.side().contains(to) ? Trouble.CUT : null;
        } else if (fault instanceof Fault.OneWay way) {
            return way.from() == from && way.to() == to ? Trouble.CUT : null;
        }
        return null;
    }

    // ---- load ----

    /** Clients that ask all kinds of commands without a break: two at each router, and two that roam. */
    public void load() {
        loaded = true;
        for (int i = 0; i < 2 * routers.size() + 2; i++) {
            int home = i / 2;
            var random = new Random(seed * 31 + i);
            var thread = new Thread(() -> work(caller(), home, random), "client " + i);
            thread.setDaemon(true);
            thread.start();
            load.add(thread);
        }
    }

    private void work(Caller caller, int home, Random random) {
        try {
            while (loaded) {
                RouterProcess router = routers.get(home < routers.size() ? home : random.nextInt(routers.size()));
                // One that roams does not go where nobody is; one at home waits there.
                if (home < routers.size() || !witness.isDown(router.name())) {
                    caller.ask(router, GROUPS.get(random.nextInt(GROUPS.size())));
                }
                Thread.sleep(1 + random.nextInt(5)); // a client's own work, which leaves the machine to others
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            caller.close();
        }
    }

    /** Ends the load; returns when the last command is over. */
    public void calm() throws InterruptedException {
        loaded = false;
        for (Thread client : load) {
            client.join();
        }
        load.clear();
    }

    // ---- conditions ----

    /** Waits until that holds; false where it did not within {@link #PATIENCE}. */
    public boolean await(BooleanSupplier condition) throws InterruptedException {
        double until = Witness.now() + PATIENCE;
        while (!condition.getAsBoolean()) {
            if (Witness.now() > until) {
                return false;
            }
            Thread.sleep(LOOK_MS);
        }
        return true;
    }

    /** Waits until each of those routers has answered that many more commands of the load with a value. */
    public boolean serve(List<RouterProcess> those, int more) throws InterruptedException {
        List<Integer> before = those.stream().map(router -> witness.answered(router.name())).toList();
        return await(() -> IntStream.range(0, those.size())
                .allMatch(i -> witness.answered(those.get(i).name()) >= before.get(i) + more));
    }

    /** The routers that neither stand still nor are gone. */
    public List<RouterProcess> up() {
        return routers.stream().filter(router -> !witness.isDown(router.name())).toList();
    }

    /** What each router logged last, to explain a verdict. */
    public String said() {
        return routers.stream().map(router -> router.since(Math.max(0, router.mark() - 12)).toString())
                .collect(Collectors.joining("\n"));
    }

    @Override
    public void close() throws IOException {
        try {
            routers.forEach(RouterProcess::kill);
            calm();
            for (RouterProcess router : routers) {
                router.ended();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        relay.close();
        nodesLoop.close();
        clientsLoop.close();
        Runtime.getRuntime().removeShutdownHook(atExit);
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
