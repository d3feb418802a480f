package clayhook.fleet.state;

import clayhook.fleet.Packet;
import clayhook.fleet.state.AntiEntropyResponse.RangeEntries;
import clayhook.fleet.state.AntiEntropyResponse.RangeEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Pushes entries that the peer of an anti-entropy session lacks, up to a number of bytes per session. Not thread-safe.
 */
final class EntryPusher {
    private static final int MAX_ENTRIES_BYTES = Packet.MAX_MESSAGE_BYTES - EncodedSizes.HEADER_BYTES;

    private final double maxBytes;
    private double pushedBytes;

    /** @param maxBytes number of pushed bytes from which on no further entry is added to a message */
    EntryPusher(double maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Sends the entries of the given keys that the peer lacks, in as many messages as needed.
     *
     * @param presentMask bit i is set if the peer has the entry of key i
     */
    void pushMissing(EntryTable<?> table, List<String> keys, long presentMask, Consumer<RangeEntries> send) {
        var batch = new ArrayList<RangeEntry>();
        int bytesLeft = MAX_ENTRIES_BYTES;
        for (int i = 0; i < keys.size() && pushedBytes < maxBytes; i++) {
            byte[] value =
                    isSet(presentMask, i) ? null : table.encodedValue(keys.get(i), StableHash.ofKey(keys.get(i)));
            if (value == null) {
                continue;
            }
            var entry = new RangeEntry(keys.get(i), value);
            if (entry.maxEncodedBytes() > bytesLeft) {
                push(table, batch, send);
                batch.clear();
                bytesLeft = MAX_ENTRIES_BYTES;
            }
            batch.add(entry);
            bytesLeft -= entry.maxEncodedBytes();
        }
        push(table, batch, send);
    }

    private static boolean isSet(long mask, int bit) {
        return (mask >>> bit & 1) != 0;
    }

    private void push(EntryTable<?> table, List<RangeEntry> batch, Consumer<RangeEntries> send) {
        if (batch.isEmpty()) {
            return;
        }
        RangeEntries message =
                RangeEntries.unsolicited(table.type.typeNumber(), table.evictionFloor(), List.copyOf(batch));
        pushedBytes += message.maxEncodedBytes();
        send.accept(message);
    }
}
