package clayhook.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests connection failures and the shutdown of the transport. */
class TransportTest {
    private final LinkedBlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final Transport transport = Transport.tcp(() -> {
        throw new ChannelException(new IOException("Too many open files"));
    });

    @AfterEach
    void close() {
        transport.close();
    }

    /** Guards against callbacks on another thread, which would race with the event loop for the state they change. */
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

    /** Guards against a stall of the event loop by a node or service that sends without end. */
    @Test
    void connectionThatReceivesWithoutEndIsReadAtMostTwiceInOneIteration() throws Exception {
        Transport client = Transport.tcp();
        var readsOfIterations = new LinkedBlockingQueue<Integer>();
        var flooding = new AtomicBoolean(true);
        try (var server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            client.connect(
                    (InetSocketAddress) server.getLocalSocketAddress(),
                    20,
                    () -> new ChannelHandler[] {new ReadCounter(readsOfIterations)},
                    () -> events.add("failed"));
            try (Socket accepted = server.accept()) {
                var sender = new Thread(() -> sendWhile(flooding, accepted));
                sender.start();
                EventLoopStall.during(client.eventLoop(), () -> awaitFullBuffers(sender), () -> {});
                for (int i = 0; i < 20; i++) {
                    assertTrue(readsOfIterations.take() <= 2);
                }
                flooding.set(false);
                sender.join();
            }
        } finally {
            client.close();
        }
    }

    private static void sendWhile(AtomicBoolean running, Socket socket) {
        try {
            while (running.get()) {
                socket.getOutputStream().write(new byte[1 << 16]);
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until a sender has filled the buffers of its connection: they take less than this time to fill. */
    private static Void awaitFullBuffers(Thread sender) throws InterruptedException {
        sender.join(300);
        return null;
    }

    /** Counts the reads of a channel in each event loop iteration, and discards what is read. */
    private static final class ReadCounter extends ChannelInboundHandlerAdapter {
        private final Queue<Integer> readsOfIterations;
        private int reads;

        private ReadCounter(Queue<Integer> readsOfIterations) {
            this.readsOfIterations = readsOfIterations;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            reads++;
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            readsOfIterations.add(reads);
            reads = 0;
        }
    }

    /** Guards against leaked sockets of a warm-up, which count against the descriptor limit of the serving process. */
    @Test
    void closeFromEventLoopLeavesNoChannelOpen() throws Exception {
        Transport closing = Transport.tcp();
        var accepted = new LinkedBlockingQueue<Channel>();
        Channel listening = closing.listen(closing.ephemeralAddress(0), () -> new ChannelHandler[] {
            new ChannelInboundHandlerAdapter() {
                @Override
                public void channelActive(ChannelHandlerContext ctx) {
                    accepted.add(ctx.channel());
                }
            }
        });
        Channel connected = closing.connect(
                (InetSocketAddress) listening.localAddress(),
                20,
                () -> new ChannelHandler[0],
                () -> events.add("failed"));
        Channel other = accepted.take();
        closing.eventLoop().submit(closing::close).get();
        assertTrue(closing.eventLoop().awaitTermination(20, TimeUnit.SECONDS));
        assertEquals(List.of(false, false, false), List.of(listening.isOpen(), connected.isOpen(), other.isOpen()));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reportsSocketCreationFailureOnEventLoop(boolean callFromEventLoop) throws Exception {
        var reportedOnEventLoop = new CompletableFuture<Boolean>();
        Runnable connect = () -> transport.connect(
                new InetSocketAddress("127.0.0.1", 1),
                1,
                () -> new ChannelHandler[0],
                () -> reportedOnEventLoop.complete(transport.eventLoop().inEventLoop()));
        if (callFromEventLoop) {
            transport.eventLoop().submit(connect).get();
        } else {
            connect.run();
        }
        assertTrue(reportedOnEventLoop.get());
    }
}
