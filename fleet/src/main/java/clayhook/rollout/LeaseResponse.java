package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Message;

/**
 * To an {@link LeaseRequest}.
 *
 * @param asked as the ask had it
 * @param granted for the rollout's lease from then on; else the asker may not count on this router any more
 */
record LeaseResponse(String rolloutId, double requestedAt, boolean granted) implements Message {
    static final int TYPE_NUMBER = 41;

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
