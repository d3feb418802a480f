package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Message;

/**
 * Response to a {@link LeaseRequest}.
 *
 * @param rolloutId the rollout of the request
 * @param requestedAt copied from the request, so that the requester can match the response to it
 * @param granted whether the lease is granted; if false, an earlier grant of this router is no longer valid either
 */
record LeaseResponse(String rolloutId, double requestedAt, boolean granted) implements Message {
    /** Message type on the wire. */
    static final int TYPE_NUMBER = 41;

    /** Decodes the fields in the order of {@link #write}; throws IllegalArgumentException if they are malformed. */
    static LeaseResponse read(FieldReader in) {
        return new LeaseResponse(in.readNonEmptyString(), in.readDouble(), in.readBoolean());
    }

    @Override
    public int typeNumber() {
        return TYPE_NUMBER;
    }

    @Override
    public void write(FieldWriter out) {
        out.writeNullableString(rolloutId).writeDouble(requestedAt).writeBoolean(granted);
    }
}
