package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.List;

/**
 * Recently changed entries, sent to a few members without a request.
 *
 * @param sequence the sequence number of the sender's last update
 * @param asOf time at which {@code sequence} was the last one, in seconds since 1970 on the sender's clock
 */
record DeltaBroadcast(long sequence, double asOf, List<DeltaEntry> entries) implements StateMessage {
    static final int TYPE_NUMBER = 20;
    /** Maximum number of update ids of an entry; if there are more, the oldest are left out. */
    static final int MAX_UPDATES_PER_DELTA = 8;

    /**
     * The current value of a changed entry.
     *
     * @param replicatedType number of the type
     * @param updateIds the updates that the value includes and that are still being broadcast
     */
    @SuppressWarnings("ArrayRecordComponent") // the encoded value is never changed, and entries are never compared
    record DeltaEntry(int replicatedType, String key, byte[] value, List<UpdateId> updateIds) {
        int maxEncodedBytes() {
            return EncodedSizes.ENTRY_OVERHEAD_BYTES
                    + EncodedSizes.utf8Length(key)
                    + value.length
                    + EncodedSizes.NUMBER_PAIR_BYTES * updateIds.size();
        }

        private void write(FieldWriter out) {
            out.beginList().writeLong(replicatedType).writeNullableString(key).writeBytes(value);
            UpdateId.writeList(updateIds, out);
            out.endList();
        }

        private static DeltaEntry read(FieldReader in) {
            return new DeltaEntry(
                    in.readIntBelow(REPLICATED_TYPE_LIMIT),
                    in.readNonEmptyString(),
                    in.readBytes(),
                    UpdateId.readList(in, MAX_UPDATES_PER_DELTA));
        }
    }

    @Override
    public int typeNumber() {
        return TYPE_NUMBER;
    }

    @Override
    public int maxEncodedBytes() {
        return EncodedSizes.HEADER_BYTES
                + entries.stream().mapToInt(DeltaEntry::maxEncodedBytes).sum();
    }

    @Override
    public void write(FieldWriter out) {
        out.writeLong(sequence).writeDouble(asOf).beginList();
        entries.forEach(entry -> entry.write(out));
        out.endList();
    }

    static DeltaBroadcast read(FieldReader in) {
        return new DeltaBroadcast(in.readLong(), in.readDouble(), in.readLists(MAX_ENTRIES, DeltaEntry::read));
    }
}
