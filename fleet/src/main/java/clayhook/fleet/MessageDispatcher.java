package clayhook.fleet;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Decodes received packets and passes their messages to the protocol handlers, ticks the handlers, and sends what they
 * put into the outbox. Confined to one thread.
 */
public final class MessageDispatcher {
    /** Traffic since the start, for logs and metrics. Changed by the dispatcher's thread only. */
    public static final class TrafficCounters {
        /** Packets that were decoded. */
        public long receivedPackets;
        /** Messages in these whose type is unknown or whose fields are malformed. */
        public long skippedMessages;
        /** Datagrams that were dropped whole. */
        public final Map<Packet.DecodeResult.DropReason, Long> droppedByReason =
                new EnumMap<>(Packet.DecodeResult.DropReason.class);
        /** Packets handed to the transport. */
        public long sentPackets;
        /** Bytes of these. */
        public long sentBytes;
    }

    private final List<ProtocolHandler> handlers;
    private final Map<Integer, ProtocolHandler> handlersByType = new HashMap<>();
    private final Map<Integer, Function<FieldReader, ? extends Message>> messageReaders = new HashMap<>();
    private final PacketAssembler outbox;
    private final TrafficCounters counters = new TrafficCounters();

    /**
     * Registers the handlers; throws IllegalArgumentException where two of them read the same message type.
     *
     * @param handlers are ticked in this order
     * @param transport sends a packet to an address, and may lose it
     */
    public MessageDispatcher(
            Member self, List<? extends ProtocolHandler> handlers, BiConsumer<Address, byte[]> transport) {
        this.handlers = List.copyOf(handlers);
        outbox = new PacketAssembler(self, (to, packet) -> {
            counters.sentPackets++;
            counters.sentBytes += packet.length;
            transport.accept(to, packet);
        });
        this.handlers.forEach(this::register);
    }

    private void register(ProtocolHandler handler) {
        handler.messageReaders().forEach((typeNumber, reader) -> {
            if (messageReaders.put(typeNumber, reader) != null) {
                throw new IllegalArgumentException("two handlers read messages of type " + typeNumber);
            }
            handlersByType.put(typeNumber, handler);
        });
    }

    /** Handles a datagram from that address and sends the replies at once. */
    public void onDatagram(Address from, byte[] bytes, double now) {
        Packet.DecodeResult result = Packet.decode(bytes, messageReaders);
        if (result instanceof Packet.DecodeResult.Dropped dropped) {
            counters.droppedByReason.merge(dropped.reason(), 1L, Long::sum);
        } else if (result instanceof Packet.DecodeResult.Decoded packet) {
            onPacket(from, packet, now);
        }
        outbox.flush();
    }

    private void onPacket(Address from, Packet.DecodeResult.Decoded packet, double now) {
        counters.receivedPackets++;
        counters.skippedMessages += packet.skippedMessages();
        var peer = new Peer(packet.from(), from);
        for (Message message : packet.messages()) {
            handlersByType.get(message.typeNumber()).onMessage(peer, message, now, outbox);
        }
    }

    /** Ticks all handlers and sends what is due; returns when to call it next, in seconds since 1970. */
    public double tick(double now) {
        double next = Double.POSITIVE_INFINITY;
        for (ProtocolHandler handler : handlers) {
            next = Math.min(next, handler.tick(now, outbox));
        }
        outbox.flush();
        return next;
    }

    /** The live counters, not a copy. */
    public TrafficCounters counters() {
        return counters;
    }
}
