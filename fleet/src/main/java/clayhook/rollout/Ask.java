package clayhook.rollout;

import clayhook.fleet.Part;
import clayhook.fleet.Reader;
import clayhook.fleet.Writer;

/**
 * May I run the candidate of that rollout?
 *
 * @param at when it is asked, on the asker's clock, which alone understands it
 */
record Ask(String round, double at) implements Part {
    static final int NUMBER = 40;

    static Ask read(Reader in) {
        return new Ask(in.name(), in.number());
    }

    @Override
    public int number() {
        return NUMBER;
    }

    @Override
    public void write(Writer out) {
        out.text(round).number(at);
    }
}
