package clayhook.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Collects messages by address and sends several of them in one packet, up to the maximum size of a packet. Confined to
 * the dispatcher's thread.
 */
final class PacketAssembler implements Outbox {
    private static final class PendingPacket {
        final List<Integer> typeNumbers = new ArrayList<>();
        final List<byte[]> encodedMessages = new ArrayList<>();
        int reservedBytes;

        boolean isEmpty() {
            return encodedMessages.isEmpty();
        }

        void add(int typeNumber, byte[] encodedMessage) {
            typeNumbers.add(typeNumber);
            encodedMessages.add(encodedMessage);
            reservedBytes += Packet.maxFramedBytes(encodedMessage);
        }

        void clear() {
            typeNumbers.clear();
            encodedMessages.clear();
            reservedBytes = 0;
        }
    }

    private final Member sender;
    private final BiConsumer<Address, byte[]> transport;
    /** Pending packets, in the order in which their addresses were first used. Each flush removes all of them. */
    private final Map<Address, PendingPacket> pendingByAddress = new LinkedHashMap<>();

    PacketAssembler(Member sender, BiConsumer<Address, byte[]> transport) {
        this.sender = sender;
        this.transport = transport;
    }

    /** {@inheritDoc} If the message does not fit into the pending packet of the address, sends that packet first. */
    @Override
    public void add(Address to, Message message) {
        byte[] encoded = Packet.encode(message);
        if (encoded.length > Packet.MAX_MESSAGE_BYTES) {
            throw new IllegalArgumentException("message of " + encoded.length + " bytes: "
                    + message.getClass().getSimpleName());
        }
        PendingPacket pending = pendingByAddress.computeIfAbsent(to, address -> new PendingPacket());
        int bytes = Packet.maxHeaderBytes(sender) + pending.reservedBytes + Packet.maxFramedBytes(encoded);
        if (!pending.isEmpty() && bytes > Packet.MAX_BYTES) {
            send(to, pending);
        }
        pending.add(message.typeNumber(), encoded);
    }

    private void send(Address to, PendingPacket pending) {
        transport.accept(to, Packet.encode(sender, pending.typeNumbers, pending.encodedMessages));
        pending.clear();
    }

    /** Sends all pending packets. */
    void flush() {
        pendingByAddress.forEach((to, pending) -> {
            if (!pending.isEmpty()) {
                send(to, pending);
            }
        });
        pendingByAddress.clear();
    }
}
