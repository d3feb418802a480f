package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Packet;
import clayhook.fleet.Message;
import clayhook.fleet.Peer;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** What members say to each other. Times are seconds since 1970 on the clock of whoever wrote them. */
sealed interface Word extends Message {
    Map<Integer, Function<FieldReader, ? extends Message>> READERS = Map.of(
            1, Probe::read, 2, Ack::read, 3, Errand::read, 4, Done::read, 5, News::read, 6, Ask::read, 7, Page::read);
    /** More claims than fit. */
    int MOST_CLAIMS = Packet.MAX_MESSAGE_BYTES;

    /**
     * Are you there? Says who asks as well, so that a probe is all it takes to be found.
     *
     * @param sentAt comes back in the answer
     * @param digest of the asker's roster
     */
    record Probe(long sequence, double sentAt, long digest, Address address, long counter) implements Word {
        @Override
        public int typeNumber() {
            return 1;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sequence)
                    .writeDouble(sentAt)
                    .writeLong(digest)
                    .writeNullableString(address.host())
                    .writeLong(address.port())
                    .writeLong(counter);
        }

        static Probe read(FieldReader in) {
            return new Probe(in.readLong(), in.readDouble(), in.readLong(), Claim.address(in), Claim.counter(in));
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
        public int typeNumber() {
            return 2;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sequence).writeDouble(sentAt).writeDouble(gotAt).writeLong(digest);
            out.writeNullableString(address.host()).writeLong(address.port()).writeLong(counter);
        }

        static Ack read(FieldReader in) {
            return new Ack(in.readLong(), in.readDouble(), in.readDouble(), in.readLong(), Claim.address(in), Claim.counter(in));
        }
    }

    /** Ask that one for me. */
    record Errand(long sequence, Peer target) implements Word {
        @Override
        public int typeNumber() {
            return 3;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sequence)
                    .writeNullableString(target.member().name())
                    .writeLong(target.member().incarnation());
            out.writeNullableString(target.address().host()).writeLong(target.address().port());
        }

        static Errand read(FieldReader in) {
            return new Errand(in.readLong(), new Peer(new Member(in.readNonEmptyString(), in.readLong()), Claim.address(in)));
        }
    }

    /** I asked; it answered, or has not yet. */
    record Done(long sequence, boolean answered) implements Word {
        @Override
        public int typeNumber() {
            return 4;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sequence).writeBoolean(answered);
        }

        static Done read(FieldReader in) {
            return new Done(in.readLong(), in.readBoolean());
        }
    }

    /** Claims that are new to whoever tells them, or that concern the one who is told. */
    record News(List<Claim> claims) implements Word {
        @Override
        public int typeNumber() {
            return 5;
        }

        @Override
        public void write(FieldWriter out) {
            out.beginList();
            for (Claim claim : claims) {
                out.beginList();
                claim.write(out);
                out.endList();
            }
            out.endList();
        }

        static News read(FieldReader in) {
            return new News(in.readLists(MOST_CLAIMS, Claim::read));
        }
    }

    /** These are the digests of my roster, by hash of the name; tell me where yours differs. */
    record Ask(int[] digests) implements Word {
        @Override
        public int typeNumber() {
            return 6;
        }

        @Override
        public void write(FieldWriter out) {
            var bytes = ByteBuffer.allocate(Integer.BYTES * digests.length);
            bytes.asIntBuffer().put(digests);
            out.writeBytes(bytes.array());
        }

        static Ask read(FieldReader in) {
            byte[] bytes = in.readBytes();
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
            private static Aged read(FieldReader in) {
                return new Aged(Claim.read(in), Math.max(0, in.readDouble()));
            }
        }

        @Override
        public int typeNumber() {
            return 7;
        }

        @Override
        public void write(FieldWriter out) {
            out.beginList();
            for (Aged aged : claims) {
                out.beginList();
                aged.claim.write(out);
                out.writeLong((long) aged.age).endList();
            }
            out.endList();
        }

        static Page read(FieldReader in) {
            return new Page(in.readLists(MOST_CLAIMS, Aged::read));
        }
    }
}
