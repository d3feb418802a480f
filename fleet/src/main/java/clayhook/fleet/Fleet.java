package clayhook.fleet;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;

/** One router's end of what routers share: takes packets apart for its machines and packs what they say. */
public final class Fleet {
    /** What came in, since the start; read for the log. */
    public static final class Counts {
        public long packets;
        public long unknownParts;
        public final Map<Packet.Read.Why, Long> dropped = new EnumMap<>(Packet.Read.Why.class);
        /** What went out. */
        public long sent;

        public long sentBytes;
    }

    private final List<Machine> machines;
    private final Map<Integer, Machine> byNumber = new HashMap<>();
    private final Map<Integer, Function<Reader, ? extends Part>> readers = new HashMap<>();
    private final Packer packer;
    private final Counts counts = new Counts();

    /** {@code machines} get their turns in this order; {@code wire} takes each packet, and may lose it. */
    public Fleet(Member self, List<? extends Machine> machines, BiConsumer<Address, byte[]> wire) {
        this.machines = List.copyOf(machines);
        packer = new Packer(self, (to, bytes) -> {
            counts.sent++;
            counts.sentBytes += bytes.length;
            wire.accept(to, bytes);
        });
        for (Machine machine : machines) {
            machine.parts().forEach((number, reader) -> {
                if (readers.put(number, reader) != null) {
                    throw new IllegalArgumentException("two kinds of part with number " + number);
                }
                byNumber.put(number, machine);
            });
        }
    }

    /** A datagram came from there. What answers it is sent at once. */
    public void heard(Address from, byte[] bytes, double now) {
        Packet.Read read = Packet.decode(bytes, readers);
        if (read instanceof Packet.Read.Dropped dropped) {
            counts.dropped.merge(dropped.why(), 1L, Long::sum);
        } else if (read instanceof Packet.Read.Whole whole) {
            counts.packets++;
            counts.unknownParts += whole.unknown();
            var peer = new Peer(whole.from(), from);
            whole.parts().forEach(part -> byNumber.get(part.number()).heard(peer, part, now, packer));
        }
        packer.flush();
    }

    /** Does what is due; returns when the next turn is wanted. */
    public double turn(double now) {
        double next = Double.POSITIVE_INFINITY;
        for (Machine machine : machines) {
            next = Math.min(next, machine.turn(now, packer));
        }
        packer.flush();
        return next;
    }

    public Counts counts() {
        return counts;
    }
}
