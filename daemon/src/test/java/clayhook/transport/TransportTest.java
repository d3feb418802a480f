package clayhook.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TransportTest {
    private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final Transport transport = Transport.tcp(() -> {
        throw new ChannelException(new IOException("Too many open files"));
    });

    @AfterEach
    void close() {
        transport.close();
    }

    /** All that hears of a failure belongs to the loop; on another thread it crosses what the loop does just then. */
    @Test
    void reportsMissingDescriptorOnEventLoopAfterConnectReturns() throws Exception {
        transport
                .eventLoop()
                .submit(() -> {
                    transport.connect(
                            new InetSocketAddress("127.0.0.1", 1),
                            1,
                            () -> new ChannelHandler[0],
                            () -> events.add(
                                    transport.eventLoop().inEventLoop()
                                            ? "on the loop"
                                            : "on " + Thread.currentThread().getName()));
                    events.add("called");
                })
                .get();
        assertEquals("called", events.take());
        assertEquals("on the loop", events.take());
        assertTrue(events.isEmpty());
    }

    /** A rehearsal's sockets would count against the process that serves. */
    @Test
    void closeFromEventLoopLeavesNoChannelOpen() throws Exception {
        Transport asked = Transport.tcp();
        var accepted = new LinkedBlockingQueue<Channel>();
        Channel listening = asked.listen(asked.ephemeralAddress(0), () -> new ChannelHandler[] {
            new ChannelInboundHandlerAdapter() {
                @Override
                public void channelActive(ChannelHandlerContext ctx) {
                    accepted.add(ctx.channel());
                }
            }
        });
        Channel connected = asked.connect(
                (InetSocketAddress) listening.localAddress(),
                20,
                () -> new ChannelHandler[0],
                () -> events.add("failed"));
        Channel other = accepted.take();
        asked.eventLoop().submit(asked::close).get();
        assertTrue(asked.eventLoop().awaitTermination(20, TimeUnit.SECONDS));
        assertEquals(List.of(false, false, false), List.of(listening.isOpen(), connected.isOpen(), other.isOpen()));
    }

    /** What is told of it changes tables that only the loop may touch. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reportsSocketCreationFailureOnEventLoop(boolean fromTheLoop) throws Exception {
        var toldOnTheLoop = new CompletableFuture<Boolean>();
        Runnable connect = () -> transport.connect(
                new InetSocketAddress("127.0.0.1", 1),
                1,
                () -> new ChannelHandler[0],
                () -> toldOnTheLoop.complete(transport.eventLoop().inEventLoop()));
        if (fromTheLoop) {
            transport.eventLoop().submit(connect).get();
        } else {
            connect.run();
        }
        assertTrue(toldOnTheLoop.get());
    }
}
