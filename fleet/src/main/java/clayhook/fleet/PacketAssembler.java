package clayhook.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** Gathers the parts of a turn by where they go, and packs them into as few packets as hold them. */
final class PacketAssembler implements Outbox {
    private static final class PendingPacket {
        final List<Integer> typeNumbers = new ArrayList<>();
        final List<byte[]> encodedMessages = new ArrayList<>();
        int reservedBytes;
    }

    private final Member sender;
    private final BiConsumer<Address, byte[]> transport;
    /** Emptied at the end of each turn. */
    private final Map<Address, PendingPacket> pendingByAddress = new LinkedHashMap<>();

    PacketAssembler(Member self, BiConsumer<Address, byte[]> wire) {
        this.sender = self;
        this.transport = wire;
    }

    @Override
    public void add(Address to, Message part) {
        byte[] bytes = Packet.encode(part);
        if (bytes.length > Packet.MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException(
                    "a part of " + bytes.length + " bytes: " + part.getClass().getSimpleName());
        }
        PendingPacket bundle = pendingByAddress.computeIfAbsent(to, any -> new PendingPacket());
        if (!bundle.encodedMessages.isEmpty()
                && Packet.maxHeaderBytes(sender) + bundle.reservedBytes + Packet.maxFramedBytes(bytes)
                        > Packet.MAX_BYTES) {
            send(to, bundle);
        }
        bundle.typeNumbers.add(part.typeNumber());
        bundle.encodedMessages.add(bytes);
        bundle.reservedBytes += Packet.maxFramedBytes(bytes);
    }

    private void send(Address to, PendingPacket bundle) {
        transport.accept(to, Packet.encode(sender, bundle.typeNumbers, bundle.encodedMessages));
        bundle.typeNumbers.clear();
        bundle.encodedMessages.clear();
        bundle.reservedBytes = 0;
    }

    /** Sends what is left. */
    void flush() {
        pendingByAddress.forEach((to, bundle) -> {
            if (!bundle.encodedMessages.isEmpty()) {
                send(to, bundle);
            }
        });
        pendingByAddress.clear();
    }
}
