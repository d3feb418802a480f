package clayhook.fleet;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * What one datagram holds: a hash of all that follows it, then as CBOR the version, the sender, and the parts, each as
 * its number and its bytes. Whatever is spoilt on the way, is of another version or holds kinds that are not known
 * costs only itself.
 */
public final class Packet {
    /** Raised when what a packet is made of changes; parts and fields may be added without. */
    static final int VERSION = 1;
    /** Bytes of the hash. */
    private static final int HASH = Long.BYTES;
    /** Bytes; fits a datagram that networks carry whole, and leaves room for their headers. */
    public static final int LONGEST = 1400;
    /** Bytes that a part may take, beside the sender's name. */
    public static final int LONGEST_PART = 1200;
    /** Of a name of a router. */
    public static final int LONGEST_NAME = 100;
    /** Parts in a packet; more than fit. */
    private static final int MOST_PARTS = LONGEST;

    /** What came of taking bytes apart. */
    public sealed interface Read {
        /** @param unknown parts of kinds that this release does not know, or that could not be read */
        record Whole(Member from, List<Part> parts, int unknown) implements Read {}

        /** Nothing of it counts. */
        record Dropped(Why why) implements Read {}

        /** Why nothing counts: it was cut or garbled, another release wrote it, or it makes no sense. */
        enum Why {
            GARBLED,
            VERSION,
            SENSELESS
        }
    }

    private Packet() {}

    /** A part as it stands in a packet. */
    static byte[] encode(Part part) {
        var fields = new Writer();
        part.write(fields);
        return fields.done();
    }

    /** Bytes that a packet from that sender takes beside its parts, at most. */
    static int frame(Member from) {
        return HASH + 16 + 4 * from.name().length() + Long.BYTES + 1;
    }

    /** Bytes that an encoded part takes in a packet, at most. */
    static int room(byte[] part) {
        return part.length + 2 + 5 + 3;
    }

    static byte[] encode(Member from, List<Integer> numbers, List<byte[]> parts) {
        var out =
                new Writer().whole(VERSION).text(from.name()).whole(from.boot()).begin();
        for (int i = 0; i < parts.size(); i++) {
            out.begin().whole(numbers.get(i)).bytes(parts.get(i)).end();
        }
        byte[] body = out.end().done();
        return ByteBuffer.allocate(HASH + body.length)
                .putLong(Hashing.komihash5_0().hashBytesToLong(body))
                .put(body)
                .array();
    }

    /** Takes bytes from outside apart. */
    public static Read decode(byte[] bytes, Map<Integer, Function<Reader, ? extends Part>> known) {
        if (bytes.length <= HASH
                || ByteBuffer.wrap(bytes).getLong()
                        != Hashing.komihash5_0().hashBytesToLong(bytes, HASH, bytes.length - HASH)) {
            return new Read.Dropped(Read.Why.GARBLED);
        }
        try {
            var in = new Reader(bytes, HASH, bytes.length - HASH);
            if (in.whole() != VERSION) {
                return new Read.Dropped(Read.Why.VERSION);
            }
            String name = in.name();
            if (name.length() > LONGEST_NAME) {
                return new Read.Dropped(Read.Why.SENSELESS);
            }
            var from = new Member(name, in.whole());
            var parts = new ArrayList<Part>();
            List<Part> read = in.lists(MOST_PARTS, each -> part(each, known));
            read.stream().filter(part -> part != null).forEach(parts::add);
            return new Read.Whole(from, List.copyOf(parts), read.size() - parts.size());
        } catch (IllegalArgumentException e) {
            return new Read.Dropped(Read.Why.SENSELESS);
        }
    }

    /** Null for one that cannot be read. */
    private static Part part(Reader in, Map<Integer, Function<Reader, ? extends Part>> known) {
        long number = in.whole();
        byte[] fields = in.bytes();
        Function<Reader, ? extends Part> reader = number == (int) number ? known.get((int) number) : null;
        try {
            return reader == null ? null : reader.apply(new Reader(fields));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
