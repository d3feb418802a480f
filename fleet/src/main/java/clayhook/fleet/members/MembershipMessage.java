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

/**
 * A message of the membership protocol. Times are in seconds since 1970 on the clock of the router that took them. The
 * readers throw {@link IllegalArgumentException} for fields out of range.
 */
sealed interface MembershipMessage extends Message {
    /** The readers of all membership messages, by type number. */
    Map<Integer, Function<FieldReader, ? extends Message>> READERS = Map.of(
            Ping.TYPE_NUMBER, Ping::read,
            Ack.TYPE_NUMBER, Ack::read,
            PingRequest.TYPE_NUMBER, PingRequest::read,
            PingRequestResult.TYPE_NUMBER, PingRequestResult::read,
            ClaimBroadcast.TYPE_NUMBER, ClaimBroadcast::read,
            SyncRequest.TYPE_NUMBER, SyncRequest::read,
            SyncPage.TYPE_NUMBER, SyncPage::read);

    /** Maximum number of claims in one message; more than fit into it. */
    int MAX_CLAIMS = Packet.MAX_MESSAGE_BYTES;

    /**
     * Requests an ack from a member. Carries the sender's address and refutation count, so that one ping is enough for
     * the receiver to add the sender as a member.
     *
     * @param sequence the sequence number, which the ack repeats
     * @param sentAt when the ping was sent, which the ack repeats
     * @param digest the digest of the sender's membership table
     * @param address the address that the sender advertises
     * @param refutationCount the refutation count of the sender
     */
    record Ping(long sequence, double sentAt, long digest, Address address, long refutationCount)
            implements MembershipMessage {
        static final int TYPE_NUMBER = 1;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sequence).writeDouble(sentAt).writeLong(digest);
            writeAddress(address, out);
            out.writeLong(refutationCount);
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
     * The immediate response to a {@link Ping}.
     *
     * @param sequence the sequence number of the ping
     * @param sentAt when the ping was sent, on the clock of the member that sent it
     * @param receivedAt when the ping was received, on the clock of the member that sends the ack
     * @param digest the digest of the membership table of the member that sends the ack
     * @param address the address that this member advertises
     * @param refutationCount the refutation count of this member
     */
    record Ack(long sequence, double sentAt, double receivedAt, long digest, Address address, long refutationCount)
            implements MembershipMessage {
        static final int TYPE_NUMBER = 2;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sequence).writeDouble(sentAt).writeDouble(receivedAt).writeLong(digest);
            writeAddress(address, out);
            out.writeLong(refutationCount);
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

    /** Requests a member to ping another member on behalf of the sender. */
    record PingRequest(long sequence, Peer target) implements MembershipMessage {
        static final int TYPE_NUMBER = 3;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            Member member = target.member();
            out.writeLong(sequence).writeNullableString(member.name()).writeLong(member.incarnation());
            writeAddress(target.address(), out);
        }

        static PingRequest read(FieldReader in) {
            long sequence = in.readLong();
            var member = new Member(in.readNonEmptyString(), in.readLong());
            return new PingRequest(sequence, new Peer(member, MemberClaim.readAddress(in)));
        }
    }

    /**
     * The response to a {@link PingRequest}.
     *
     * @param sequence the sequence number of the ping request
     * @param answered whether the target has answered; if false, a second result may follow when it does
     */
    record PingRequestResult(long sequence, boolean answered) implements MembershipMessage {
        static final int TYPE_NUMBER = 4;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sequence).writeBoolean(answered);
        }

        static PingRequestResult read(FieldReader in) {
            return new PingRequestResult(in.readLong(), in.readBoolean());
        }
    }

    /** Broadcasts claims that are new to the sender, or informs the receiver of a claim on its own name. */
    record ClaimBroadcast(List<MemberClaim> claims) implements MembershipMessage {
        static final int TYPE_NUMBER = 5;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
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

    /**
     * Requests the claims in all buckets of the membership table whose digests differ between the sender and the
     * receiver.
     *
     * @param bucketDigests the sender's digest of each of the {@link TableDigest#BUCKETS} buckets; must not be modified
     */
    @SuppressWarnings("ArrayRecordComponent") // a list of boxed numbers would need more memory for each request
    record SyncRequest(int[] bucketDigests) implements MembershipMessage {
        static final int TYPE_NUMBER = 6;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            var bytes = ByteBuffer.allocate(Integer.BYTES * bucketDigests.length);
            bytes.asIntBuffer().put(bucketDigests);
            out.writeBytes(bytes.array());
        }

        static SyncRequest read(FieldReader in) {
            byte[] bytes = in.readBytes();
            var digests = new int[TableDigest.BUCKETS];
            if (bytes.length != Integer.BYTES * digests.length) {
                throw new IllegalArgumentException(
                        bytes.length + " bytes of bucket digests, which is not the expected length");
            }
            ByteBuffer.wrap(bytes).asIntBuffer().get(digests);
            return new SyncRequest(digests);
        }
    }

    /** A part of a membership table, sent in response to a {@link SyncRequest}. */
    record SyncPage(List<AgedClaim> claims) implements MembershipMessage {
        static final int TYPE_NUMBER = 7;

        /**
         * A claim and the time for which its status has lasted.
         *
         * @param ageSeconds seconds since the status began, as far as known to the sender; encoded in whole seconds
         */
        record AgedClaim(MemberClaim claim, double ageSeconds) {
            private static AgedClaim read(FieldReader in) {
                return new AgedClaim(MemberClaim.read(in), Math.max(0, in.readDouble()));
            }
        }

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
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

    private static void writeAddress(Address address, FieldWriter out) {
        out.writeNullableString(address.host()).writeLong(address.port());
    }
}
