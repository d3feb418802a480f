package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Message;

/**
 * May I run the candidate of that rollout?
 *
 * @param at when it is asked, on the asker's clock, which alone understands it
 */
record LeaseRequest(String rolloutId, double requestedAt) implements Message {
    static final int TYPE_NUMBER = 40;

    static LeaseRequest read(FieldReader in) {
        return new LeaseRequest(in.readNonEmptyString(), in.readDouble());
    }

    @Override
    public int typeNumber() {
        return TYPE_NUMBER;
    }

    @Override
    public void write(FieldWriter out) {
        out.writeNullableString(rolloutId).writeDouble(requestedAt);
    }
}
