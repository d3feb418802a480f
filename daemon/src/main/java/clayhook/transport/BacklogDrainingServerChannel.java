package clayhook.transport;

import clayhook.log.Log;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;

/**
 * A TCP server socket whose backlog can be accepted before it closes: the system resets connections that still wait in
 * the backlog of a socket that closes. Event loop only, but for its creation.
 */
final class BacklogDrainingServerChannel extends NioServerSocketChannel {
    /**
     * Accepts some of the connections that wait in the backlog.
     *
     * @return whether more may be waiting
     */
    boolean acceptBacklog(int max) {
        var accepted = new ArrayList<Object>();
        try {
            while (accepted.size() < max && doReadMessages(accepted) > 0) {
                // doReadMessages has added a connection
            }
        } catch (Exception e) {
            Log.warn("accept", "cannot accept the rest of the backlog: " + e);
        }
        accepted.forEach(pipeline()::fireChannelRead);
        return accepted.size() == max;
    }
}
