package clayhook.front;

import clayhook.protocol.Allowance;
import clayhook.protocol.ClientDecoder;
import clayhook.serve.Descriptors;
import clayhook.serve.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Where clients connect. */
public final class Front {
    /** An eighth of the memory: the runtime itself takes half. */
    private static final int MEMORY_PART = 8;
    private final Set<Session> sessions = new LinkedHashSet<>();
    private final Descriptors descriptors;
    private final InetSocketAddress asked;
    private final Channel listening;

    public Front(Transport transport, InetSocketAddress address, Descriptors descriptors, long memory,
            Session.Listener listener) throws InterruptedException {
        this.descriptors = descriptors;
        asked = address;
        var allowance = new Allowance(memory / MEMORY_PART);
        listening = transport.listen(address, () -> {
            boolean room = descriptors.takeForClient();
            var session = new Session(listener, !room, this::ended);
            if (room) {
                sessions.add(session);
            }
            return new ChannelHandler[] {new ClientDecoder(allowance), session};
        });
    }

    private void ended(Session session) {
        if (sessions.remove(session)) {
            descriptors.giveOfClient();
        }
    }

    /** Where it listens; with the port that was found if none was asked for. */
    public InetSocketAddress address() {
        return listening.localAddress() instanceof InetSocketAddress given ? given : asked;
    }

    /** Takes no more connections and ends each session once what it has taken is answered. */
    public void end() {
        listening.close();
        List.copyOf(sessions).forEach(Session::end);
    }

    /** Ends the oldest session that is between commands, to make room for one; false if there is none. */
    public boolean giveBack() {
        Session idle = sessions.stream().filter(Session::idle).findFirst().orElse(null);
        if (idle != null) {
            sessions.remove(idle);
            descriptors.giveOfClient();
            idle.end();
        }
        return idle != null;
    }

    public int size() {
        return sessions.size();
    }
}
