package clayhook.fleet.members;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.fleet.Address;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.Message;
import clayhook.fleet.Peer;
import clayhook.fleet.RecordedBytes;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Compares the encoding and decoding of every form of membership message with recorded bytes, which routers of
 * different releases exchange.
 */
class RecordedMessagesTest {
    private static final Map<String, byte[]> RECORDED = RecordedBytes.load("membership-messages.txt");
    private static final double SENT_AT = 1_700_000_000.125;
    private static final double RECEIVED_AT = 1_700_000_001.1;
    private static final Address ADDRESS = new Address("10.0.0.1", 7100);
    private static final Peer PEER = new Peer(new Member("router-1", 1_700_000_000_123L), ADDRESS);
    private static final Peer OTHER_PEER = new Peer(
            new Member("r\u00fcter-\u20ac-\ud83d\ude00", Long.MIN_VALUE), new Address("node.example.org", 65_535));
    private static final Map<String, MembershipMessage> MESSAGES = messages();

    private static Map<String, MembershipMessage> messages() {
        var messages = new LinkedHashMap<String, MembershipMessage>();
        messages.put("ping", new MembershipMessage.Ping(1, SENT_AT, -2, ADDRESS, 3));
        messages.put(
                "ping-of-extremes",
                new MembershipMessage.Ping(
                        Long.MAX_VALUE, Double.POSITIVE_INFINITY, Long.MIN_VALUE, new Address("h", 0), (1L << 50) - 1));
        messages.put("ack", new MembershipMessage.Ack(1, SENT_AT, RECEIVED_AT, Long.MAX_VALUE, ADDRESS, 24));
        messages.put(
                "ack-of-extremes",
                new MembershipMessage.Ack(Long.MIN_VALUE, -0.5, 1e300, 0, new Address("node.example.org", 65_535), 0));
        messages.put("ping-request", new MembershipMessage.PingRequest(256, PEER));
        messages.put("ping-request-wide", new MembershipMessage.PingRequest(1L << 32, OTHER_PEER));
        messages.put("ping-request-result-answered", new MembershipMessage.PingRequestResult(256, true));
        messages.put("ping-request-result-unanswered", new MembershipMessage.PingRequestResult(70_000, false));
        messages.put("claim-broadcast-empty", new MembershipMessage.ClaimBroadcast(List.of()));
        messages.put(
                "claim-broadcast-alive", new MembershipMessage.ClaimBroadcast(List.of(MemberClaim.alive(PEER, 0))));
        messages.put(
                "claim-broadcast-suspect",
                new MembershipMessage.ClaimBroadcast(List.of(suspect(-1L, 2L, Long.MAX_VALUE, Long.MIN_VALUE))));
        messages.put(
                "claim-broadcast-suspect-by-one",
                new MembershipMessage.ClaimBroadcast(List.of(suspect(0x1234_5678_9abc_def0L))));
        messages.put("claim-broadcast-suspect-by-none", new MembershipMessage.ClaimBroadcast(List.of(suspect())));
        messages.put(
                "claim-broadcast-dead",
                new MembershipMessage.ClaimBroadcast(List.of(new MemberClaim(PEER, MemberStatus.DEAD, 23, List.of()))));
        messages.put(
                "claim-broadcast-left",
                new MembershipMessage.ClaimBroadcast(
                        List.of(new MemberClaim(OTHER_PEER, MemberStatus.LEFT, 1L << 49, List.of()))));
        messages.put(
                "claim-broadcast-several",
                new MembershipMessage.ClaimBroadcast(List.of(
                        MemberClaim.alive(OTHER_PEER, 1),
                        suspect(3L, 4L),
                        new MemberClaim(PEER, MemberStatus.LEFT, 2, List.of()))));
        messages.put(
                "sync-request",
                new MembershipMessage.SyncRequest(IntStream.range(0, TableDigest.BUCKETS)
                        .map(i -> i * 0x9e37_79b9)
                        .toArray()));
        messages.put("sync-request-empty", new MembershipMessage.SyncRequest(new int[TableDigest.BUCKETS]));
        messages.put("sync-page-empty", new MembershipMessage.SyncPage(List.of()));
        messages.put(
                "sync-page",
                new MembershipMessage.SyncPage(List.of(
                        new MembershipMessage.SyncPage.AgedClaim(MemberClaim.alive(PEER, 5), 0),
                        new MembershipMessage.SyncPage.AgedClaim(suspect(7L, 8L, 9L), 1),
                        new MembershipMessage.SyncPage.AgedClaim(
                                new MemberClaim(OTHER_PEER, MemberStatus.DEAD, 6, List.of()), 3600),
                        new MembershipMessage.SyncPage.AgedClaim(
                                new MemberClaim(PEER, MemberStatus.LEFT, 0, List.of()), 1e9))));
        return messages;
    }

    private static MemberClaim suspect(Long... accusers) {
        return new MemberClaim(PEER, MemberStatus.SUSPECT, 1, List.of(accusers));
    }

    /** Returns the type number of a message on the wire, which selects the reader of its bytes. */
    private static int typeNumber(MembershipMessage message) {
        if (message instanceof MembershipMessage.Ping) {
            return 1;
        } else if (message instanceof MembershipMessage.Ack) {
            return 2;
        } else if (message instanceof MembershipMessage.PingRequest) {
            return 3;
        } else if (message instanceof MembershipMessage.PingRequestResult) {
            return 4;
        } else if (message instanceof MembershipMessage.ClaimBroadcast) {
            return 5;
        } else if (message instanceof MembershipMessage.SyncRequest) {
            return 6;
        }
        return 7;
    }

    private static byte[] encode(Message message) {
        var out = new FieldWriter();
        message.write(out);
        return out.toByteArray();
    }

    @TestFactory
    Stream<DynamicTest> messageIsWrittenAsRecorded() {
        return MESSAGES.entrySet().stream()
                .map(form -> DynamicTest.dynamicTest(form.getKey(), () -> {
                    assertEquals(typeNumber(form.getValue()), form.getValue().typeNumber());
                    assertEquals(
                            HexFormat.of().formatHex(RECORDED.getOrDefault(form.getKey(), new byte[0])),
                            HexFormat.of().formatHex(encode(form.getValue())),
                            form.getKey());
                }));
    }

    @TestFactory
    Stream<DynamicTest> recordedBytesAreReadAsTheMessage() {
        return MESSAGES.entrySet().stream()
                .map(form -> DynamicTest.dynamicTest(form.getKey(), () -> {
                    MembershipMessage message = form.getValue();
                    Message read = MembershipMessage.READERS
                            .get(typeNumber(message))
                            .apply(new FieldReader(RECORDED.get(form.getKey())));
                    if (message instanceof MembershipMessage.SyncRequest request) {
                        assertArrayEquals(
                                request.bucketDigests(), ((MembershipMessage.SyncRequest) read).bucketDigests());
                    } else {
                        assertEquals(message, read);
                    }
                }));
    }

    @Test
    void everyFormOfMessageIsRecorded() {
        assertEquals(MESSAGES.keySet(), RECORDED.keySet());
        assertEquals(
                Arrays.stream(MembershipMessage.class.getPermittedSubclasses()).collect(Collectors.toSet()),
                MESSAGES.values().stream().map(Object::getClass).collect(Collectors.toSet()));
        assertEquals(Set.of(1, 2, 3, 4, 5, 6, 7), MembershipMessage.READERS.keySet());
        var statuses = new HashSet<MemberStatus>();
        for (MembershipMessage message : MESSAGES.values()) {
            if (message instanceof MembershipMessage.ClaimBroadcast broadcast) {
                broadcast.claims().forEach(claim -> statuses.add(claim.status()));
            }
        }
        assertEquals(EnumSet.allOf(MemberStatus.class), statuses);
    }

    @Test
    void ageIsWrittenInWholeSeconds() {
        var aged = new MembershipMessage.SyncPage(List.of(
                new MembershipMessage.SyncPage.AgedClaim(MemberClaim.alive(PEER, 5), 0.9),
                new MembershipMessage.SyncPage.AgedClaim(suspect(9L, 7L, 8L, 7L), 1.99),
                new MembershipMessage.SyncPage.AgedClaim(
                        new MemberClaim(OTHER_PEER, MemberStatus.DEAD, 6, List.of(1L)), 3600.5),
                new MembershipMessage.SyncPage.AgedClaim(new MemberClaim(PEER, MemberStatus.LEFT, 0, List.of()), 1e9)));
        assertArrayEquals(RECORDED.get("sync-page"), encode(aged));
    }
}
