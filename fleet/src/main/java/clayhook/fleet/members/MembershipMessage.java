package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.Message;
import clayhook.fleet.Packet;
import clayhook.fleet.Peer;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** What members say to each other. Times are seconds since 1970 on the clock of whoever wrote them. */
sealed interface MembershipMessage extends Message {
    Map<Integer, Function<FieldReader, ? extends Message>> READERS = Map.of(
            1,
            Ping::read,
            2,
            Ack::read,
            3,
            PingRequest::read,
            4,
            PingRequestResult::read,
            5,
            ClaimBroadcast::read,
            6,
            SyncRequest::read,
            7,
            SyncPage::read);
    /** More claims than fit. */
    int MAX_CLAIMS = Packet.MAX_MESSAGE_BYTES;

    /**
     * Are you there? Says who asks as well, so that a probe is all it takes to be found.
     *
     * @param sentAt comes back in the answer
     * @param digest of the asker's roster
     */
    record Ping(long sequence, double sentAt, long digest, Address address, long refutationCount)
            implements MembershipMessage {
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
                    .writeLong(refutationCount);
        }

        static Ping read(FieldReader in) {
            return new Ping(
                    in.readLong(),
                    in.readDouble(),
                    in.readLong(),
                    MemberClaim.readAddress(in),
                    MemberClaim.readRefutationCount(in));
        }
    }

    /**
     * Yes.
     *
     * @param sentAt as the probe had it, on the asker's clock
     * @param gotAt when the probe came, on the clock of whoever answers; the answer leaves at once
     */
    record Ack(long sequence, double sentAt, double receivedAt, long digest, Address address, long refutationCount)
            implements MembershipMessage {
        @Override
        public int typeNumber() {
            return 2;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sequence).writeDouble(sentAt).writeDouble(receivedAt).writeLong(digest);
            out.writeNullableString(address.host()).writeLong(address.port()).writeLong(refutationCount);
        }

        static Ack read(FieldReader in) {
            return new Ack(
                    in.readLong(),
                    in.readDouble(),
                    in.readDouble(),
                    in.readLong(),
                    MemberClaim.readAddress(in),
                    MemberClaim.readRefutationCount(in));
        }
    }

    /** Ask that one for me. */
    record PingRequest(long sequence, Peer target) implements MembershipMessage {
        @Override
        public int typeNumber() {
            return 3;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sequence)
                    .writeNullableString(target.member().name())
                    .writeLong(target.member().incarnation());
            out.writeNullableString(target.address().host())
                    .writeLong(target.address().port());
        }

        static PingRequest read(FieldReader in) {
            return new PingRequest(
                    in.readLong(),
                    new Peer(new Member(in.readNonEmptyString(), in.readLong()), MemberClaim.readAddress(in)));
        }
    }

    /** I asked; it answered, or has not yet. */
    record PingRequestResult(long sequence, boolean answered) implements MembershipMessage {
        @Override
        public int typeNumber() {
            return 4;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sequence).writeBoolean(answered);
        }

        static PingRequestResult read(FieldReader in) {
            return new PingRequestResult(in.readLong(), in.readBoolean());
        }
    }

    /** Claims that are new to whoever tells them, or that concern the one who is told. */
    record ClaimBroadcast(List<MemberClaim> claims) implements MembershipMessage {
        @Override
        public int typeNumber() {
            return 5;
        }

        @Override
        public void write(FieldWriter out) {
            out.beginList();
            for (MemberClaim claim : claims) {
                out.beginList();
                claim.write(out);
                out.endList();
            }
            out.endList();
        }

        static ClaimBroadcast read(FieldReader in) {
            return new ClaimBroadcast(in.readLists(MAX_CLAIMS, MemberClaim::read));
        }
    }

    /** These are the digests of my roster, by hash of the name; tell me where yours differs. */
    record SyncRequest(int[] bucketDigests) implements MembershipMessage {
        @Override
        public int typeNumber() {
            return 6;
        }

        @Override
        public void write(FieldWriter out) {
            var bytes = ByteBuffer.allocate(Integer.BYTES * bucketDigests.length);
            bytes.asIntBuffer().put(bucketDigests);
            out.writeBytes(bytes.array());
        }

        static SyncRequest read(FieldReader in) {
            byte[] bytes = in.readBytes();
            int[] digests = new int[MembershipTable.BUCKETS];
            if (bytes.length != Integer.BYTES * digests.length) {
                throw new IllegalArgumentException(bytes.length + " bytes of digests");
            }
            ByteBuffer.wrap(bytes).asIntBuffer().get(digests);
            return new SyncRequest(digests);
        }
    }

    /** A part of a roster. */
    record SyncPage(List<AgedClaim> claims) implements MembershipMessage {
        /** @param age seconds since that standing began, as far as whoever tells it knows */
        record AgedClaim(MemberClaim claim, double ageSeconds) {
            private static AgedClaim read(FieldReader in) {
                return new AgedClaim(MemberClaim.read(in), Math.max(0, in.readDouble()));
            }
        }

        @Override
        public int typeNumber() {
            return 7;
        }

        @Override
        public void write(FieldWriter out) {
            out.beginList();
            for (AgedClaim aged : claims) {
                out.beginList();
                aged.claim.write(out);
                out.writeLong((long) aged.ageSeconds).endList();
            }
            out.endList();
        }

        static SyncPage read(FieldReader in) {
            return new SyncPage(in.readLists(MAX_CLAIMS, AgedClaim::read));
        }
    }
}
