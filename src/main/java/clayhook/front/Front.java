package clayhook.front;

import clayhook.protocol.ClientDecoder;
import clayhook.protocol.Statement;
import clayhook.serve.Descriptors;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Where clients connect. */
public final class Front {
    /** Connections that the machine may accept before the process does. */
    private static final int BACKLOG = 1024;
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final Descriptors descriptors;
    private final Channel listening;

    public Front(EventLoopGroup loop, InetSocketAddress address, Descriptors descriptors, Session.Listener listener)
            throws InterruptedException {
        this.descriptors = descriptors;
        Session.Listener here = new Session.Listener() {
            @Override
            public void taken(Session session, Statement statement) {
                listener.taken(session, statement);
            }

            @Override
            public void left(Session session) {
                listener.left(session);
            }

            @Override
            public void ended(Session session) {
                if (sessions.remove(session)) {
                    descriptors.giveOfClient();
                }
                listener.ended(session);
            }
        };
        listening = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        boolean room = descriptors.takeForClient();
                        var session = new Session(here, !room);
                        if (room) {
                            sessions.add(session);
                        }
                        channel.pipeline().addLast(new ClientDecoder(), session);
                    }
                }).bind(address).sync().channel();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Takes no more connections. */
    public void close() {
        listening.close();
    }

    /** Ends the sessions that are between commands; returns whether all have ended. */
    public boolean endIdle() {
        List.copyOf(sessions).forEach(Session::endIfIdle);
        return sessions.isEmpty();
    }

    /** Ends the session that has been idle for long; false if there is none. */
    public boolean giveBack() {
        for (Session session : sessions) {
            if (session.endIfIdle()) {
                return true;
            }
        }
        return false;
    }

    public int size() {
        return sessions.size();
    }
}
