package clayhook.fleet.state;

import clayhook.fleet.Part;
import clayhook.fleet.Reader;
import clayhook.fleet.Writer;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * What copies tell and ask each other: parts 20 to 28. A question carries the number of its walk and its own; the
 * answer repeats both, and makes sense by itself whenever it comes.
 */
sealed interface Word extends Part {
    /** Marks on an entry told as news; with more the oldest are dropped. */
    int MOST_TAGS = 8;
    /** Bytes that an entry takes in a part beside key, value and tags, at most. */
    int ENTRY = 13;
    /** Bytes that a tag or a pair of numbers takes at most. */
    int TAG = 18;
    /** Bytes that the root of a kind takes. */
    int ROOT = 31;
    /** Bytes of a part beside its entries, at most. */
    int FRAME = 72;
    /** Entries in a part; more than fit. */
    int MOST = 256;
    /** Members asked about in one question; the answer fits whatever their numbers are. */
    int MOST_IDS = 40;
    /** Entries told in brief in one question, a bit of the answer for each. */
    int MOST_BRIEFS = 62;
    /** Kinds of values, on the wire a number below that. */
    int MOST_KINDS = 256;

    /** @param tags for each member whose putting-in this value holds: its id, and its number of that */
    record Told(int kind, String key, byte[] value, long[] tags) {
        int room() {
            return ENTRY + Keys.bytes(key) + value.length + TAG / 2 * tags.length;
        }

        private void write(Writer out) {
            out.begin().whole(kind).text(key).bytes(value);
            wholes(tags, out);
            out.end();
        }

        private static Told read(Reader in) {
            return new Told(in.small(MOST_KINDS), in.name(), in.bytes(), in.wholes(2 * MOST_TAGS));
        }
    }

    /** An entry in a comparison, of a kind named beside it. */
    record Entry(String key, byte[] value) {
        int room() {
            return ENTRY + Keys.bytes(key) + value.length;
        }
    }

    /** A member, how many times it had put something in, and when that was so there. */
    record Pair(long id, long count, double asOf) {}

    /** Where one kind stands: what is left out for its age, the floor, and the sum of the rest. */
    record Root(int kind, double cutoff, double floor, long sum) {}

    /**
     * What has changed.
     *
     * @param count of the sender
     * @param asOf its clock as it wrote this
     */
    record News(long count, double asOf, List<Told> entries) implements Word {
        static final int NUMBER = 20;

        @Override
        public int number() {
            return NUMBER;
        }

        @Override
        public void write(Writer out) {
            out.whole(count).number(asOf).begin();
            entries.forEach(told -> told.write(out));
            out.end();
        }

        private static News read(Reader in) {
            return new News(in.whole(), in.number(), in.lists(MOST, Told::read));
        }
    }

    /** How far the sender has all that each of those members put in. Walk 0: unasked. */
    record Pairs(long walk, int ask, double now, List<Pair> pairs) implements Word {
        static final int NUMBER = 21;
        private static final double MS = 1000;

        @Override
        public int number() {
            return NUMBER;
        }

        /** Times are written as whole milliseconds before {@code now}, rounded to the older side. */
        @Override
        public void write(Writer out) {
            out.whole(walk).whole(ask).number(now).begin();
            for (Pair pair : pairs) {
                out.begin().whole(pair.id).whole(pair.count).whole(age(pair)).end();
            }
            out.end();
        }

        private long age(Pair pair) {
            return (long) Math.ceil((now - pair.asOf) * MS);
        }

        private static Pairs read(Reader in) {
            long walk = in.whole();
            int ask = in.small(Integer.MAX_VALUE);
            double now = in.number();
            return new Pairs(
                    walk,
                    ask,
                    now,
                    in.lists(MOST, each -> new Pair(each.whole(), each.whole(), now - each.whole() / MS)));
        }
    }

    /** How far do you have what those put in? */
    record AskPairs(long walk, int ask, long[] ids) implements Word {
        static final int NUMBER = 22;

        @Override
        public int number() {
            return NUMBER;
        }

        @Override
        public void write(Writer out) {
            out.whole(walk).whole(ask);
            wholes(ids, out);
        }

        private static AskPairs read(Reader in) {
            return new AskPairs(in.whole(), in.small(Integer.MAX_VALUE), in.wholes(MOST_IDS));
        }
    }

    /** Are we alike? */
    record AskRoots(long walk, int ask, List<Root> roots) implements Word {
        static final int NUMBER = 23;

        @Override
        public int number() {
            return NUMBER;
        }

        @Override
        public void write(Writer out) {
            out.whole(walk).whole(ask);
            writeRoots(roots, out);
        }

        private static AskRoots read(Reader in) {
            return new AskRoots(in.whole(), in.small(Integer.MAX_VALUE), in.lists(MOST_KINDS, Word::root));
        }
    }

    /** @param whole the sender was brought up itself */
    record Roots(long walk, int ask, boolean whole, List<Root> roots) implements Word {
        static final int NUMBER = 24;

        @Override
        public int number() {
            return NUMBER;
        }

        @Override
        public void write(Writer out) {
            out.whole(walk).whole(ask).flag(whole);
            writeRoots(roots, out);
        }

        private static Roots read(Reader in) {
            return new Roots(in.whole(), in.small(Integer.MAX_VALUE), in.flag(), in.lists(MOST_KINDS, Word::root));
        }
    }

    /** What are the ranges within that range? */
    record AskNode(long walk, int ask, int kind, double cutoff, int level, int index) implements Word {
        static final int NUMBER = 25;

        @Override
        public int number() {
            return NUMBER;
        }

        @Override
        public void write(Writer out) {
            out.whole(walk).whole(ask).whole(kind).number(cutoff).whole(level).whole(index);
        }

        private static AskNode read(Reader in) {
            long walk = in.whole();
            int ask = in.small(Integer.MAX_VALUE);
            int kind = in.small(MOST_KINDS);
            double cutoff = in.number();
            int level = in.small(Tree.LEAVES);
            return new AskNode(walk, ask, kind, cutoff, level, in.small(Tree.ranges(level)));
        }
    }

    /** @param floor as of now: what is not among the entries any more is at or below it */
    record Node(long walk, int ask, double cutoff, double floor, long[] sums, long[] counts) implements Word {
        static final int NUMBER = 26;

        @Override
        public int number() {
            return NUMBER;
        }

        @Override
        public void write(Writer out) {
            out.whole(walk).whole(ask).number(cutoff).number(floor);
            wholes(sums, out);
            wholes(counts, out);
        }

        private static Node read(Reader in) {
            var node = new Node(
                    in.whole(),
                    in.small(Integer.MAX_VALUE),
                    in.number(),
                    in.number(),
                    in.wholes(Tree.FAN),
                    in.wholes(Tree.FAN));
            if (node.sums.length != Tree.FAN || node.counts.length != Tree.FAN) {
                throw new IllegalArgumentException("a node of " + node.sums.length + " ranges");
            }
            return node;
        }
    }

    /** What is there from hash to hash, but for what I have? */
    record AskRange(long walk, int ask, int kind, long from, long to, long[] briefs) implements Word {
        static final int NUMBER = 27;

        @Override
        public int number() {
            return NUMBER;
        }

        @Override
        public void write(Writer out) {
            out.whole(walk).whole(ask).whole(kind).whole(from).whole(to);
            wholes(briefs, out);
        }

        private static AskRange read(Reader in) {
            return new AskRange(
                    in.whole(),
                    in.small(Integer.MAX_VALUE),
                    in.small(MOST_KINDS),
                    in.whole(),
                    in.whole(),
                    in.wholes(MOST_BRIEFS));
        }
    }

    /**
     * Entries; walk 0: what the other was seen to lack.
     *
     * @param floor as in {@link Node}
     * @param upTo hash up to which these are all that were asked for
     * @param had a bit for each entry told in brief that is here too
     */
    record Entries(long walk, int ask, int kind, double floor, long upTo, long had, List<Entry> entries)
            implements Word {
        static final int NUMBER = 28;

        @Override
        public int number() {
            return NUMBER;
        }

        @Override
        public void write(Writer out) {
            out.whole(walk)
                    .whole(ask)
                    .whole(kind)
                    .number(floor)
                    .whole(upTo)
                    .whole(had)
                    .begin();
            entries.forEach(
                    entry -> out.begin().text(entry.key).bytes(entry.value).end());
            out.end();
        }

        private static Entries read(Reader in) {
            return new Entries(
                    in.whole(),
                    in.small(Integer.MAX_VALUE),
                    in.small(MOST_KINDS),
                    in.number(),
                    in.whole(),
                    in.whole(),
                    in.lists(MOST, each -> new Entry(each.name(), each.bytes())));
        }
    }

    /** How each of them is read. */
    static Map<Integer, Function<Reader, ? extends Part>> readers() {
        return Map.of(
                News.NUMBER,
                News::read,
                Pairs.NUMBER,
                Pairs::read,
                AskPairs.NUMBER,
                AskPairs::read,
                AskRoots.NUMBER,
                AskRoots::read,
                Roots.NUMBER,
                Roots::read,
                AskNode.NUMBER,
                AskNode::read,
                Node.NUMBER,
                Node::read,
                AskRange.NUMBER,
                AskRange::read,
                Entries.NUMBER,
                Entries::read);
    }

    private static void wholes(long[] values, Writer out) {
        out.begin();
        for (long value : values) {
            out.whole(value);
        }
        out.end();
    }

    private static void writeRoots(List<Root> roots, Writer out) {
        out.begin();
        roots.forEach(root -> out.begin()
                .whole(root.kind)
                .number(root.cutoff)
                .number(root.floor)
                .whole(root.sum)
                .end());
        out.end();
    }

    private static Root root(Reader in) {
        return new Root(in.small(MOST_KINDS), in.number(), in.number(), in.whole());
    }
}
