package clayhook.rollout;

import clayhook.fleet.Part;
import clayhook.fleet.Reader;
import clayhook.fleet.Writer;

/**
 * To an {@link Ask}.
 *
 * @param asked as the ask had it
 * @param granted for the rollout's lease from then on; else the asker may not count on this router any more
 */
record Answer(String round, double asked, boolean granted) implements Part {
    static final int NUMBER = 41;

    static Answer read(Reader in) {
        return new Answer(in.name(), in.number(), in.flag());
    }

    @Override
    public int number() {
        return NUMBER;
    }

    @Override
    public void write(Writer out) {
        out.text(round).number(asked).flag(granted);
    }
}
