package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Packet;
import clayhook.fleet.Part;
import clayhook.fleet.Peer;
import clayhook.fleet.Reader;
import clayhook.fleet.Writer;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** What members say to each other. Times are seconds since 1970 on the clock of whoever wrote them. */
sealed interface Word extends Part {
    Map<Integer, Function<Reader, ? extends Part>> READERS = Map.of(
            1, Probe::read, 2, Ack::read, 3, Errand::read, 4, Done::read, 5, News::read, 6, Ask::read, 7, Page::read);
    /** More claims than fit. */
    int MOST_CLAIMS = Packet.LONGEST_PART;

    /**
     * Are you there? Says who asks as well, so that a probe is all it takes to be found.
     *
     * @param sentAt comes back in the answer
     * @param digest of the asker's roster
     */
    record Probe(long sequence, double sentAt, long digest, Address address, long counter) implements Word {
        @Override
        public int number() {
            return 1;
        }

        @Override
        public void write(Writer out) {
            out.whole(sequence)
                    .number(sentAt)
                    .whole(digest)
                    .text(address.host())
                    .whole(address.port())
                    .whole(counter);
        }

        static Probe read(Reader in) {
            return new Probe(in.whole(), in.number(), in.whole(), Claim.address(in), Claim.counter(in));
        }
    }

    /**
     * Yes.
     *
     * @param sentAt as the probe had it, on the asker's clock
     * @param gotAt when the probe came, on the clock of whoever answers; the answer leaves at once
     */
    record Ack(long sequence, double sentAt, double gotAt, long digest, Address address, long counter) implements Word {
        @Override
        public int number() {
            return 2;
        }

        @Override
        public void write(Writer out) {
            out.whole(sequence).number(sentAt).number(gotAt).whole(digest);
            out.text(address.host()).whole(address.port()).whole(counter);
        }

        static Ack read(Reader in) {
            return new Ack(in.whole(), in.number(), in.number(), in.whole(), Claim.address(in), Claim.counter(in));
        }
    }

    /** Ask that one for me. */
    record Errand(long sequence, Peer target) implements Word {
        @Override
        public int number() {
            return 3;
        }

        @Override
        public void write(Writer out) {
            out.whole(sequence)
                    .text(target.member().name())
                    .whole(target.member().boot());
            out.text(target.address().host()).whole(target.address().port());
        }

        static Errand read(Reader in) {
            return new Errand(in.whole(), new Peer(new Member(in.name(), in.whole()), Claim.address(in)));
        }
    }

    /** I asked; it answered, or has not yet. */
    record Done(long sequence, boolean answered) implements Word {
        @Override
        public int number() {
            return 4;
        }

        @Override
        public void write(Writer out) {
            out.whole(sequence).flag(answered);
        }

        static Done read(Reader in) {
            return new Done(in.whole(), in.flag());
        }
    }

    /** Claims that are new to whoever tells them, or that concern the one who is told. */
    record News(List<Claim> claims) implements Word {
        @Override
        public int number() {
            return 5;
        }

        @Override
        public void write(Writer out) {
            out.begin();
            for (Claim claim : claims) {
                out.begin();
                claim.write(out);
                out.end();
            }
            out.end();
        }

        static News read(Reader in) {
            return new News(in.lists(MOST_CLAIMS, Claim::read));
        }
    }

    /** These are the digests of my roster, by hash of the name; tell me where yours differs. */
    record Ask(int[] digests) implements Word {
        @Override
        public int number() {
            return 6;
        }

        @Override
        public void write(Writer out) {
            var bytes = ByteBuffer.allocate(Integer.BYTES * digests.length);
            bytes.asIntBuffer().put(digests);
            out.bytes(bytes.array());
        }

        static Ask read(Reader in) {
            byte[] bytes = in.bytes();
            int[] digests = new int[Register.BUCKETS];
            if (bytes.length != Integer.BYTES * digests.length) {
                throw new IllegalArgumentException(bytes.length + " bytes of digests");
            }
            ByteBuffer.wrap(bytes).asIntBuffer().get(digests);
            return new Ask(digests);
        }
    }

    /** A part of a roster. */
    record Page(List<Aged> claims) implements Word {
        /** @param age seconds since that standing began, as far as whoever tells it knows */
        record Aged(Claim claim, double age) {
            private static Aged read(Reader in) {
                return new Aged(Claim.read(in), Math.max(0, in.number()));
            }
        }

        @Override
        public int number() {
            return 7;
        }

        @Override
        public void write(Writer out) {
            out.begin();
            for (Aged aged : claims) {
                out.begin();
                aged.claim.write(out);
                out.whole((long) aged.age).end();
            }
            out.end();
        }

        static Page read(Reader in) {
            return new Page(in.lists(MOST_CLAIMS, Aged::read));
        }
    }
}
