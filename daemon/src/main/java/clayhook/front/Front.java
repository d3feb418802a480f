package clayhook.front;

import clayhook.log.Log;
import clayhook.protocol.Allowance;
import clayhook.protocol.ClientDecoder;
import clayhook.protocol.Encoder;
import clayhook.statements.SessionSettings;
import clayhook.transport.Descriptors;
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
public final class Front {
    /** An eighth of the memory: the runtime itself takes half. */
    private static final int MEMORY_PART = 8;
    /** Of what clients may hold here: whoever deals their connections out may grant them less. */
    private static final double CROWDED = 0.5;
    /**
     * Clients turned away that are waited for at once, so that they get their answer; from the reserve of descriptors.
     */
    private static final int MOST_REFUSALS = 16;
    /** At the end, for the first command of a client that has just connected; short beside what is left then. */
    private static final int FIRST_MS = 50;

    private final Set<Session> sessions = new LinkedHashSet<>();
    private final CancelKeys keys = new CancelKeys();
    /** Connections of clients that were turned away and have not closed yet. */
    private int refusals;

    private final Descriptors descriptors;
    private final InetSocketAddress asked;
    private final Transport transport;
    private final Channel listening;
    /** No more connections are taken. */
    private boolean ending;

    /** {@code settings} makes those of a new session; null where only the two forms of statement are taken. */
    public Front(
            Transport transport,
            InetSocketAddress address,
            Descriptors descriptors,
            long memory,
            Supplier<SessionSettings> settings,
            DoubleSupplier clock,
            Session.Listener listener)
            throws InterruptedException {
        this.transport = transport;
        this.descriptors = descriptors;
        asked = address;
        descriptors.clientsGiveBackBy(this::giveBack);
        var allowance = new Allowance(memory / MEMORY_PART);
        listening = transport.listen(address, () -> {
            if (!descriptors.takeForClient()) {
                Log.count("turned away");
                return new ChannelHandler[] {new Refusal()};
            }
            var decoder = new ClientDecoder(allowance, settings != null);
            var session =
                    new Session(listener, decoder, settings == null ? null : settings.get(), keys, clock, this::ended);
            sessions.add(session);
            if (ending) {
                end(session);
            }
            return new ChannelHandler[] {decoder, session};
        });
    }

    /** Takes no commands, as there are no descriptors for more. */
    private final class Refusal extends ChannelInboundHandlerAdapter {
        private boolean counted;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ByteBuf error = Encoder.error(true, "53300", "no descriptors are left for more clients", null);
            if (refusals < MOST_REFUSALS) {
                refusals++;
                counted = true;
                OrderlyClose.begin(ctx.channel()).end(error, () -> {});
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
            refusals -= counted ? 1 : 0;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
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
        ending = true;
        transport.stop(listening);
        List.copyOf(sessions).forEach(this::end);
    }

    /** One that has asked nothing yet may have its first command on the way, and is given a moment for that. */
    private void end(Session session) {
        if (session.atRest() || session.busy()) {
            session.end();
        } else {
            transport.loop().schedule(session::end, FIRST_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends those that have been silent for too long; where they are many, also those that asked once and stay. */
    public void sweep(double now) {
        List.copyOf(sessions).forEach(session -> session.sweep(now));
        List<Session> atRest = sessions.stream()
                .filter(Session::atRest)
                .sorted(Comparator.comparingDouble(Session::worth))
                .toList();
        int tooMany = atRest.size() - (int) (descriptors.mostOfEach() * CROWDED);
        atRest.stream().limit(Math.max(0, tooMany)).forEach(session -> {
            Log.count("let go");
            session.end();
        });
    }

    /** Ends the session without a command that is worth least, to make room for one; false if there is none. */
    private boolean giveBack() {
        Session least = sessions.stream()
                .filter(session -> !session.busy())
                .min(Comparator.comparingDouble(Session::worth))
                .orElse(null);
        if (least != null) {
            sessions.remove(least);
            descriptors.giveOfClient();
            least.close();
        }
        return least != null;
    }

    public int size() {
        return sessions.size();
    }

    /** How many sessions could be asked to cancel. */
    int cancelKeys() {
        return keys.size();
    }
}
