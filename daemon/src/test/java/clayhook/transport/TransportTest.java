package clayhook.transport;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TransportTest {
    /** What is told of it changes tables that only the loop may touch. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aSocketThatCannotBeMadeIsToldOnTheLoop(boolean fromTheLoop) throws Exception {
        Transport transport = Transport.tcp(() -> {
            throw new ChannelException("too many open files");
        });
        var toldOnTheLoop = new CompletableFuture<Boolean>();
        Runnable connect = () -> transport.connect(new InetSocketAddress("127.0.0.1", 1), 1,
                () -> new ChannelHandler[0], () -> toldOnTheLoop.complete(transport.loop().inEventLoop()));
        if (fromTheLoop) {
            transport.loop().submit(connect).get();
        } else {
            connect.run();
        }
        assertTrue(toldOnTheLoop.get());
        transport.close();
    }
}
