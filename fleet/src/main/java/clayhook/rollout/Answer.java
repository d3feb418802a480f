package clayhook.rollout;

import clayhook.fleet.Message;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;

/**
 * To an {@link Ask}.
 *
 * @param asked as the ask had it
 * @param granted for the rollout's lease from then on; else the asker may not count on this router any more
 */
record Answer(String round, double asked, boolean granted) implements Message {
    static final int NUMBER = 41;

    static Answer read(FieldReader in) {
        return new Answer(in.readNonEmptyString(), in.readDouble(), in.readBoolean());
    }

    @Override
    public int typeNumber() {
        return NUMBER;
    }

    @Override
    public void write(FieldWriter out) {
        out.writeNullableString(round).writeDouble(asked).writeBoolean(granted);
    }
}
