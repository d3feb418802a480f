package clayhook.rehearsal;

import clayhook.CommandGroup;
import clayhook.config.Configuration;
import clayhook.discovery.NodeList;
import clayhook.serve.Server;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * Runs the whole router against stand-ins, so that what a first command needs is loaded: when the program is built,
 * for the archive of classes.
 */
public final class Rehearsal {
    private static final int COMMANDS = 300;

    private Rehearsal() {
    }

    public static void run(Configuration like) throws Exception {
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        var primary = new StandInNode(loop, "primary", any -> StandInNode.Deed.answer("w"));
        var replica = new StandInNode(loop, "replica", any -> StandInNode.Deed.answer("r"));
        String list = "{\"rev\":2,\"all\":true,\"targets\":[" + entry("p", primary) + "," + entry("r", replica) + "]}";
        var discovery = new StandInDiscovery(loop, call -> call.contains("after=2") ? null : list);
        var server = new Server(new Configuration("rehearsal",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), discovery.address(), 1, like.memory(),
                like.sockets(), new NodeList(0, true, List.of()), like.settings(), like.connectTimeout()));
        var client = new StandInClient(loop, server.address());
        client.send(StandInClient.hello(Unpooled.EMPTY_BUFFER));
        client.next();
        for (int i = 0; i < COMMANDS; i++) {
            for (CommandGroup group : like.settings().groups()) {
                client.send(StandInClient.statement("id=1,c=" + group.name() + ",d=500,k=2,cluster=1"));
                client.next();
            }
        }
        client.close();
        server.end();
        loop.shutdownGracefully();
    }

    private static String entry(String id, StandInNode node) {
        return "{\"uid\":\"" + id + "\",\"endpoint\":\"127.0.0.1:" + node.address().getPort()
                + "\",\"az\":\"a\",\"model\":\"m\",\"pod_group\":1,\"state\":\"up\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }
}
