package clayhook.transport;

import clayhook.log.Log;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;

/**
 * A TCP server socket whose backlog can be accepted before it is closed; the operating system resets connections that
 * are still in the backlog of a closed socket. Confined to the event loop after its creation.
 */
final class BacklogDrainingServerChannel extends NioServerSocketChannel {
    /**
     * Accepts connections from the backlog.
     *
     * @param max the maximum number of connections to accept
     * @return whether the backlog may contain more connections
     */
    boolean acceptBacklog(int max) {
        var accepted = new ArrayList<Object>();
        try {
            while (accepted.size() < max && doReadMessages(accepted) > 0) {
                // doReadMessages adds each accepted connection to the list
            }
        } catch (Exception e) {
            Log.warn("accept", "cannot accept the rest of the backlog: " + e);
        }
        accepted.forEach(pipeline()::fireChannelRead);
        return accepted.size() == max;
    }
}
