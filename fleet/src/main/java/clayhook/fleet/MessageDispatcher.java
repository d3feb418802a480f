package clayhook.fleet;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;

/** One router's end of what routers share: takes packets apart for its machines and packs what they say. */
public final class MessageDispatcher {
    /** What came in, since the start; read for the log. */
    public static final class TrafficCounters {
        public long receivedPackets;
        public long skippedMessages;
        public final Map<Packet.DecodeResult.DropReason, Long> droppedByReason =
                new EnumMap<>(Packet.DecodeResult.DropReason.class);
        /** What went out. */
        public long sentPackets;

        public long sentBytes;
    }

    private final List<ProtocolHandler> handlers;
    private final Map<Integer, ProtocolHandler> handlersByType = new HashMap<>();
    private final Map<Integer, Function<FieldReader, ? extends Message>> messageReaders = new HashMap<>();
    private final PacketAssembler packetAssembler;
    private final TrafficCounters counters = new TrafficCounters();

    /** {@code machines} get their turns in this order; {@code wire} takes each packet, and may lose it. */
    public MessageDispatcher(Member self, List<? extends ProtocolHandler> machines, BiConsumer<Address, byte[]> wire) {
        this.handlers = List.copyOf(machines);
        packetAssembler = new PacketAssembler(self, (to, bytes) -> {
            counters.sentPackets++;
            counters.sentBytes += bytes.length;
            wire.accept(to, bytes);
        });
        for (ProtocolHandler machine : machines) {
            machine.messageReaders().forEach((number, reader) -> {
                if (messageReaders.put(number, reader) != null) {
                    throw new IllegalArgumentException("two kinds of part with number " + number);
                }
                handlersByType.put(number, machine);
            });
        }
    }

    /** A datagram came from there. What answers it is sent at once. */
    public void onDatagram(Address from, byte[] bytes, double now) {
        Packet.DecodeResult read = Packet.decode(bytes, messageReaders);
        if (read instanceof Packet.DecodeResult.Dropped dropped) {
            counters.droppedByReason.merge(dropped.reason(), 1L, Long::sum);
        } else if (read instanceof Packet.DecodeResult.Decoded whole) {
            counters.receivedPackets++;
            counters.skippedMessages += whole.skippedMessages();
            var peer = new Peer(whole.from(), from);
            whole.messages()
                    .forEach(part -> handlersByType.get(part.typeNumber()).onMessage(peer, part, now, packetAssembler));
        }
        packetAssembler.flush();
    }

    /** Does what is due; returns when the next turn is wanted. */
    public double tick(double now) {
        double next = Double.POSITIVE_INFINITY;
        for (ProtocolHandler machine : handlers) {
            next = Math.min(next, machine.tick(now, packetAssembler));
        }
        packetAssembler.flush();
        return next;
    }

    public TrafficCounters counters() {
        return counters;
    }
}
