package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;

/**
 * An entry of a version vector: all updates of one member incarnation up to a sequence number are present, and this was
 * the incarnation's last sequence number at a given time.
 *
 * @param originId hash of the member incarnation, see {@link StableHash#ofMember}
 * @param sequence sequence number of the last included update
 * @param asOf time at which {@code sequence} was the last one, in seconds since 1970 on the origin's clock
 */
record OriginVersion(long originId, long sequence, double asOf) {
    private static final double MILLIS_PER_SECOND = 1000;
    /** Size in bytes of the start and end of the list and of the marker of a 64-bit integer. */
    private static final int FRAMING_BYTES = 3;

    /**
     * Writes the version. The time is written as an age in whole milliseconds relative to {@code now}, rounded up so
     * that the decoded time is never later than the original one.
     */
    void write(double now, FieldWriter out) {
        long ageMillis = (long) Math.ceil((now - asOf) * MILLIS_PER_SECOND);
        out.beginList()
                .writeLong(originId)
                .writeLong(sequence)
                .writeLong(ageMillis)
                .endList();
    }

    static OriginVersion read(double now, FieldReader in) {
        return new OriginVersion(in.readLong(), in.readLong(), now - in.readLong() / MILLIS_PER_SECOND);
    }

    /** Returns an upper bound of the encoded size of this version in a message written at {@code now}. */
    int maxEncodedBytes(double now) {
        return FRAMING_BYTES
                + Long.BYTES
                + EncodedSizes.integerBytes(sequence)
                + EncodedSizes.integerBytes((long) ((now - asOf) * MILLIS_PER_SECOND) + 1);
    }
}
