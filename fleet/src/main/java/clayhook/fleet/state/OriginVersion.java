package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;

/**
 * One entry of a version vector: all updates of one member incarnation up to a sequence number are present, and that
 * was the incarnation's last sequence number at a point in time.
 *
 * @param originId hash of the member incarnation, see {@link StableHash#ofMember}
 * @param sequence last sequence number included
 * @param asOf seconds since 1970 on the origin's clock
 */
record OriginVersion(long originId, long sequence, double asOf) {
    private static final double MILLIS_PER_SECOND = 1000;
    /** Begin and end of the list, and the marker byte of a 64-bit integer. */
    private static final int FRAMING_BYTES = 3;

    /**
     * The time is written as whole milliseconds before {@code now}, rounded up so that it is never later than it was.
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

    /** Upper bound of the bytes that this version takes in a message written at {@code now}. */
    int maxEncodedBytes(double now) {
        return FRAMING_BYTES
                + Long.BYTES
                + EncodedSizes.integerBytes(sequence)
                + EncodedSizes.integerBytes((long) ((now - asOf) * MILLIS_PER_SECOND) + 1);
    }
}
