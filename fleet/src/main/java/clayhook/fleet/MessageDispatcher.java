package clayhook.fleet;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * Decodes received packets, passes their messages to the protocol handlers, ticks the handlers, and sends the messages
 * that they add to the outbox. Confined to one thread.
 */
public final class MessageDispatcher {
    /**
     * Traffic counters since the start of the process, for logs and metrics. Written only by the dispatcher's thread.
     */
    public static final class TrafficCounters {
        /** Number of received packets that were decoded. */
        public long receivedPackets;
        /**
         * Number of messages in decoded packets that were skipped, because their type is unknown or their fields are
         * malformed.
         */
        public long skippedMessages;
        /** Number of datagrams that were dropped as a whole, by reason. */
        public final Map<Packet.DecodeResult.DropReason, Long> droppedByReason =
                new EnumMap<>(Packet.DecodeResult.DropReason.class);
        /** Number of packets passed to the transport. */
        public long sentPackets;
        /** Total size of the packets passed to the transport, in bytes. */
        public long sentBytes;
    }

    private final List<ProtocolHandler> handlers;
    private final Map<Integer, ProtocolHandler> handlersByType = new HashMap<>();
    private final Map<Integer, Function<FieldReader, ? extends Message>> messageReaders = new HashMap<>();
    private final PacketAssembler outbox;
    private final TrafficCounters counters = new TrafficCounters();

    /**
     * Creates a dispatcher for these handlers. Throws IllegalArgumentException if two of them read the same message
     * type.
     *
     * @param handlers the protocol handlers, in the order in which they are ticked
     * @param transport sends a packet to an address, without a guarantee of delivery
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

    /** Handles a datagram received from the address {@code from} and sends the resulting messages before it returns. */
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

    /** Ticks all handlers and sends their messages. Returns when the next tick is due, in seconds since 1970. */
    public double tick(double now) {
        double next = Double.POSITIVE_INFINITY;
        for (ProtocolHandler handler : handlers) {
            next = Math.min(next, handler.tick(now, outbox));
        }
        outbox.flush();
        return next;
    }

    /** Returns the counters themselves, not a copy. */
    public TrafficCounters counters() {
        return counters;
    }
}
