package clayhook.frontend;

import clayhook.metrics.EventCounters;
import clayhook.protocol.ClientMessageDecoder;
import clayhook.protocol.MemoryBudget;
import clayhook.protocol.MessageEncoder;
import clayhook.statements.SessionSettings;
import clayhook.transport.DescriptorBudget;
import clayhook.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/** Where clients connect. */
public final class ClientListener {
    /** An eighth of the memory: the runtime itself takes half. */
    private static final int MEMORY_DIVISOR = 8;
    /** Of what clients may hold here: whoever deals their connections out may grant them less. */
    private static final double CROWDED_FRACTION = 0.5;
    /**
     * Clients turned away that are waited for at once, so that they get their answer; from the reserve of descriptors.
     */
    private static final int MAX_LINGERING_REJECTIONS = 16;
    /** At the end, for the first command of a client that has just connected; short beside what is left then. */
    private static final int FIRST_REQUEST_GRACE_MS = 50;

    private final Set<ClientSession> sessions = new LinkedHashSet<>();
    private final CancelKeyRegistry cancelKeys = new CancelKeyRegistry();
    /** Connections of clients that were turned away and have not closed yet. */
    private int lingeringRejections;

    private final DescriptorBudget descriptors;
    private final InetSocketAddress requestedAddress;
    private final Transport transport;
    private final EventCounters counters;
    private final Channel serverChannel;
    /** No more connections are taken. */
    private boolean draining;

    /** {@code settings} makes those of a new session; null where only the two forms of statement are taken. */
    public ClientListener(
            Transport transport,
            InetSocketAddress address,
            DescriptorBudget descriptors,
            long memory,
            Supplier<SessionSettings> settings,
            DoubleSupplier clock,
            ClientSession.RequestHandler listener,
            EventCounters counters)
            throws InterruptedException {
        this.transport = transport;
        this.counters = counters;
        this.descriptors = descriptors;
        requestedAddress = address;
        descriptors.setClientEvictor(this::evictSession);
        var allowance = new MemoryBudget(memory / MEMORY_DIVISOR);
        serverChannel = transport.listen(address, () -> {
            if (!descriptors.tryAcquireForClient()) {
                counters.increment("turned away");
                return new ChannelHandler[] {new RejectionHandler()};
            }
            var decoder = new ClientMessageDecoder(allowance, settings != null);
            var session = new ClientSession(
                    listener,
                    decoder,
                    settings == null ? null : settings.get(),
                    cancelKeys,
                    clock,
                    this::onSessionClosed);
            sessions.add(session);
            if (draining) {
                drain(session);
            }
            return new ChannelHandler[] {decoder, session};
        });
    }

    /** Takes no commands, as there are no descriptors for more. */
    private final class RejectionHandler extends ChannelInboundHandlerAdapter {
        private boolean lingering;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ByteBuf error = MessageEncoder.error(true, "53300", "no descriptors are left for more clients", null);
            if (lingeringRejections < MAX_LINGERING_REJECTIONS) {
                lingeringRejections++;
                lingering = true;
                LingeringClose.begin(ctx.channel()).finish(error, () -> {});
            } else {
                ctx.writeAndFlush(error).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ReferenceCountUtil.release(message);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            lingeringRejections -= lingering ? 1 : 0;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    private void onSessionClosed(ClientSession session) {
        if (sessions.remove(session)) {
            descriptors.releaseForClient();
        }
    }

    /** Where it listens; with the port that was found if none was asked for. */
    public InetSocketAddress address() {
        return serverChannel.localAddress() instanceof InetSocketAddress given ? given : requestedAddress;
    }

    /** Takes no more connections and ends each session once what it has taken is answered. */
    public void drain() {
        draining = true;
        transport.stopListening(serverChannel);
        List.copyOf(sessions).forEach(this::drain);
    }

    /** One that has asked nothing yet may have its first command on the way, and is given a moment for that. */
    private void drain(ClientSession session) {
        if (session.isIdleAfterRequest() || session.isBusy()) {
            session.drain();
        } else {
            transport.eventLoop().schedule(session::drain, FIRST_REQUEST_GRACE_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends those that have been silent for too long; where they are many, also those that asked once and stay. */
    public void closeIdleSessions(double now) {
        List.copyOf(sessions).forEach(session -> session.closeIfIdleTooLong(now));
        List<ClientSession> atRest = sessions.stream()
                .filter(ClientSession::isIdleAfterRequest)
                .sorted(Comparator.comparingDouble(ClientSession::evictionRank))
                .toList();
        int tooMany = atRest.size() - (int) (descriptors.limitPerSide() * CROWDED_FRACTION);
        atRest.stream().limit(Math.max(0, tooMany)).forEach(session -> {
            counters.increment("let go");
            session.drain();
        });
    }

    /** Ends the session without a command that is worth least, to make room for one; false if there is none. */
    private boolean evictSession() {
        ClientSession least = sessions.stream()
                .filter(session -> !session.isBusy())
                .min(Comparator.comparingDouble(ClientSession::evictionRank))
                .orElse(null);
        if (least != null) {
            sessions.remove(least);
            descriptors.releaseForClient();
            least.evict();
        }
        return least != null;
    }

    public int sessionCount() {
        return sessions.size();
    }

    /** How many sessions could be asked to cancel. */
    int cancelKeyCount() {
        return cancelKeys.size();
    }
}
