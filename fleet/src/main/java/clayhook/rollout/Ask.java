package clayhook.rollout;

import clayhook.fleet.Message;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;

/**
 * May I run the candidate of that rollout?
 *
 * @param at when it is asked, on the asker's clock, which alone understands it
 */
record Ask(String round, double at) implements Message {
    static final int NUMBER = 40;

    static Ask read(FieldReader in) {
        return new Ask(in.readNonEmptyString(), in.readDouble());
    }

    @Override
    public int typeNumber() {
        return NUMBER;
    }

    @Override
    public void write(FieldWriter out) {
        out.writeNullableString(round).writeDouble(at);
    }
}
