package clayhook.rehearsal;

import clayhook.CommandGroup;
import clayhook.Settings;
import clayhook.config.Configuration;
import clayhook.discovery.NodeList;
import clayhook.serve.Log;
import clayhook.serve.Server;
import clayhook.serve.Transport;
import io.netty.buffer.Unpooled;
import java.util.List;

/**
 * Runs the whole router against stand-ins within the process before it serves: the first command of a cold process
 * takes tens of milliseconds, many times that on a shared core, and clients would wait for it.
 */
public final class Rehearsal {
    /** Of each command group; by then the runtime has compiled what is used most. */
    private static final int COMMANDS = 100;
    /** A router that comes back is awaited. */
    private static final double LONGEST_S = 0.6;

    private Rehearsal() {
    }

    /** Closes the transport in the end. */
    public static void run(Settings settings, Transport transport) throws InterruptedException {
        double until = System.nanoTime() / 1e9 + LONGEST_S;
        var primary = new StandInNode(transport, transport.spare(1), "primary", any -> StandInNode.Deed.answer("w"));
        var replica = new StandInNode(transport, transport.spare(2), "replica", any -> StandInNode.Deed.answer("r"));
        String list = "{\"rev\":2,\"all\":true,\"targets\":[" + entry("p", primary) + "," + entry("r", replica) + "]}";
        var discovery = new StandInDiscovery(transport, transport.spare(3), call -> call.contains("after=2") ? null : list);
        var server = new Server(transport, new Configuration("rehearsal", transport.spare(4),
                discovery.address(), 1, 1 << 20, 1000, new NodeList(0, true, List.of()), settings, 1));
        var client = new StandInClient(transport, server.address());
        client.send(StandInClient.hello(Unpooled.EMPTY_BUFFER));
        client.next();
        for (int i = 0; i < COMMANDS && System.nanoTime() / 1e9 < until; i++) {
            for (CommandGroup group : settings.groups()) {
                client.send(StandInClient.statement("id=1,c=" + group.name() + ",d=500,k=2,cluster=1"));
                client.next();
            }
        }
        server.close();
        Log.counts();
    }

    private static String entry(String id, StandInNode node) {
        return "{\"uid\":\"" + id + "\",\"endpoint\":\"127.0.0.1:" + node.address().getPort()
                + "\",\"az\":\"a\",\"model\":\"m\",\"pod_group\":1,\"state\":\"up\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }
}
