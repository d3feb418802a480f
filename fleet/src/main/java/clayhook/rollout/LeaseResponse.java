package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Message;

/**
 * Answers a {@link LeaseRequest}.
 *
 * @param rolloutId the rollout of the request
 * @param requestedAt copied from the request, so that the requester can tell which of its requests was answered
 * @param granted whether the lease is granted; if not, the requester must no longer count an earlier grant of this
 *     router
 */
record LeaseResponse(String rolloutId, double requestedAt, boolean granted) implements Message {
    /** Message type on the wire. */
    static final int TYPE_NUMBER = 41;

    /** Decodes the fields in the order of {@link #write}; throws IllegalArgumentException for malformed ones. */
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
