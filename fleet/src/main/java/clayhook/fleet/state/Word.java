package clayhook.fleet.state;

import clayhook.fleet.Message;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * What copies tell and ask each other: parts 20 to 28. A question carries the number of its walk and its own; the
 * answer repeats both, and makes sense by itself whenever it comes.
 */
sealed interface Word extends Message {
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

        private void write(FieldWriter out) {
            out.beginList().writeLong(kind).writeNullableString(key).writeBytes(value);
            wholes(tags, out);
            out.endList();
        }

        private static Told read(FieldReader in) {
            return new Told(in.readIntBelow(MOST_KINDS), in.readNonEmptyString(), in.readBytes(), in.readLongs(2 * MOST_TAGS));
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
        public int typeNumber() {
            return NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(count).writeDouble(asOf).beginList();
            entries.forEach(told -> told.write(out));
            out.endList();
        }

        private static News read(FieldReader in) {
            return new News(in.readLong(), in.readDouble(), in.readLists(MOST, Told::read));
        }
    }

    /** How far the sender has all that each of those members put in. Walk 0: unasked. */
    record Pairs(long walk, int ask, double now, List<Pair> pairs) implements Word {
        static final int NUMBER = 21;
        private static final double MS = 1000;

        @Override
        public int typeNumber() {
            return NUMBER;
        }

        /** Times are written as whole milliseconds before {@code now}, rounded to the older side. */
        @Override
        public void write(FieldWriter out) {
            out.writeLong(walk).writeLong(ask).writeDouble(now).beginList();
            for (Pair pair : pairs) {
                out.beginList().writeLong(pair.id).writeLong(pair.count).writeLong(age(pair)).endList();
            }
            out.endList();
        }

        private long age(Pair pair) {
            return (long) Math.ceil((now - pair.asOf) * MS);
        }

        private static Pairs read(FieldReader in) {
            long walk = in.readLong();
            int ask = in.readIntBelow(Integer.MAX_VALUE);
            double now = in.readDouble();
            return new Pairs(
                    walk,
                    ask,
                    now,
                    in.readLists(MOST, each -> new Pair(each.readLong(), each.readLong(), now - each.readLong() / MS)));
        }
    }

    /** How far do you have what those put in? */
    record AskPairs(long walk, int ask, long[] ids) implements Word {
        static final int NUMBER = 22;

        @Override
        public int typeNumber() {
            return NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(walk).writeLong(ask);
            wholes(ids, out);
        }

        private static AskPairs read(FieldReader in) {
            return new AskPairs(in.readLong(), in.readIntBelow(Integer.MAX_VALUE), in.readLongs(MOST_IDS));
        }
    }

    /** Are we alike? */
    record AskRoots(long walk, int ask, List<Root> roots) implements Word {
        static final int NUMBER = 23;

        @Override
        public int typeNumber() {
            return NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(walk).writeLong(ask);
            writeRoots(roots, out);
        }

        private static AskRoots read(FieldReader in) {
            return new AskRoots(in.readLong(), in.readIntBelow(Integer.MAX_VALUE), in.readLists(MOST_KINDS, Word::root));
        }
    }

    /** @param whole the sender was brought up itself */
    record Roots(long walk, int ask, boolean whole, List<Root> roots) implements Word {
        static final int NUMBER = 24;

        @Override
        public int typeNumber() {
            return NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(walk).writeLong(ask).writeBoolean(whole);
            writeRoots(roots, out);
        }

        private static Roots read(FieldReader in) {
            return new Roots(in.readLong(), in.readIntBelow(Integer.MAX_VALUE), in.readBoolean(), in.readLists(MOST_KINDS, Word::root));
        }
    }

    /** What are the ranges within that range? */
    record AskNode(long walk, int ask, int kind, double cutoff, int level, int index) implements Word {
        static final int NUMBER = 25;

        @Override
        public int typeNumber() {
            return NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(walk).writeLong(ask).writeLong(kind).writeDouble(cutoff).writeLong(level).writeLong(index);
        }

        private static AskNode read(FieldReader in) {
            long walk = in.readLong();
            int ask = in.readIntBelow(Integer.MAX_VALUE);
            int kind = in.readIntBelow(MOST_KINDS);
            double cutoff = in.readDouble();
            int level = in.readIntBelow(Tree.LEAVES);
            return new AskNode(walk, ask, kind, cutoff, level, in.readIntBelow(Tree.ranges(level)));
        }
    }

    /** @param floor as of now: what is not among the entries any more is at or below it */
    record Node(long walk, int ask, double cutoff, double floor, long[] sums, long[] counts) implements Word {
        static final int NUMBER = 26;

        @Override
        public int typeNumber() {
            return NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(walk).writeLong(ask).writeDouble(cutoff).writeDouble(floor);
            wholes(sums, out);
            wholes(counts, out);
        }

        private static Node read(FieldReader in) {
            var node = new Node(
                    in.readLong(),
                    in.readIntBelow(Integer.MAX_VALUE),
                    in.readDouble(),
                    in.readDouble(),
                    in.readLongs(Tree.FAN),
                    in.readLongs(Tree.FAN));
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
        public int typeNumber() {
            return NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(walk).writeLong(ask).writeLong(kind).writeLong(from).writeLong(to);
            wholes(briefs, out);
        }

        private static AskRange read(FieldReader in) {
            return new AskRange(
                    in.readLong(),
                    in.readIntBelow(Integer.MAX_VALUE),
                    in.readIntBelow(MOST_KINDS),
                    in.readLong(),
                    in.readLong(),
                    in.readLongs(MOST_BRIEFS));
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
        public int typeNumber() {
            return NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(walk)
                    .writeLong(ask)
                    .writeLong(kind)
                    .writeDouble(floor)
                    .writeLong(upTo)
                    .writeLong(had)
                    .beginList();
            entries.forEach(
                    entry -> out.beginList().writeNullableString(entry.key).writeBytes(entry.value).endList());
            out.endList();
        }

        private static Entries read(FieldReader in) {
            return new Entries(
                    in.readLong(),
                    in.readIntBelow(Integer.MAX_VALUE),
                    in.readIntBelow(MOST_KINDS),
                    in.readDouble(),
                    in.readLong(),
                    in.readLong(),
                    in.readLists(MOST, each -> new Entry(each.readNonEmptyString(), each.readBytes())));
        }
    }

    /** How each of them is read. */
    static Map<Integer, Function<FieldReader, ? extends Message>> readers() {
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

    private static void wholes(long[] values, FieldWriter out) {
        out.beginList();
        for (long value : values) {
            out.writeLong(value);
        }
        out.endList();
    }

    private static void writeRoots(List<Root> roots, FieldWriter out) {
        out.beginList();
        roots.forEach(root -> out.beginList()
                .writeLong(root.kind)
                .writeDouble(root.cutoff)
                .writeDouble(root.floor)
                .writeLong(root.sum)
                .endList());
        out.endList();
    }

    private static Root root(FieldReader in) {
        return new Root(in.readIntBelow(MOST_KINDS), in.readDouble(), in.readDouble(), in.readLong());
    }
}
