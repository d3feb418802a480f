package clayhook.fleet.members;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Message;
import clayhook.fleet.Peer;
import clayhook.fleet.FieldReader;
import clayhook.fleet.RecordedBytes;
import clayhook.fleet.FieldWriter;
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

/** Every form of membership message is read from, and written to, the bytes that were recorded for it. */
class RecordedMessagesTest {
    private static final Map<String, byte[]> RECORDED = RecordedBytes.load("membership-messages.txt");
    private static final double SENT_AT = 1_700_000_000.125;
    private static final double RECEIVED_AT = 1_700_000_001.1;
    private static final Address ADDRESS = new Address("10.0.0.1", 7100);
    private static final Peer PEER = new Peer(new Member("router-1", 1_700_000_000_123L), ADDRESS);
    private static final Peer OTHER_PEER = new Peer(
            new Member("r\u00fcter-\u20ac-\ud83d\ude00", Long.MIN_VALUE), new Address("node.example.org", 65_535));
    private static final Map<String, Word> MESSAGES = messages();

    private static Map<String, Word> messages() {
        var messages = new LinkedHashMap<String, Word>();
        messages.put("probe", new Word.Probe(1, SENT_AT, -2, ADDRESS, 3));
        messages.put(
                "probe-of-extremes",
                new Word.Probe(
                        Long.MAX_VALUE, Double.POSITIVE_INFINITY, Long.MIN_VALUE, new Address("h", 0), (1L << 50) - 1));
        messages.put("ack", new Word.Ack(1, SENT_AT, RECEIVED_AT, Long.MAX_VALUE, ADDRESS, 24));
        messages.put(
                "ack-of-extremes",
                new Word.Ack(Long.MIN_VALUE, -0.5, 1e300, 0, new Address("node.example.org", 65_535), 0));
        messages.put("errand", new Word.Errand(256, PEER));
        messages.put("errand-wide", new Word.Errand(1L << 32, OTHER_PEER));
        messages.put("done-answered", new Word.Done(256, true));
        messages.put("done-unanswered", new Word.Done(70_000, false));
        messages.put("news-empty", new Word.News(List.of()));
        messages.put("news-alive", new Word.News(List.of(Claim.alive(PEER, 0))));
        messages.put("news-suspected", new Word.News(List.of(suspected(-1L, 2L, Long.MAX_VALUE, Long.MIN_VALUE))));
        messages.put("news-suspected-by-one", new Word.News(List.of(suspected(0x1234_5678_9abc_def0L))));
        messages.put("news-suspected-by-none", new Word.News(List.of(suspected())));
        messages.put("news-gone", new Word.News(List.of(new Claim(PEER, Standing.GONE, 23, List.of()))));
        messages.put("news-left", new Word.News(List.of(new Claim(OTHER_PEER, Standing.LEFT, 1L << 49, List.of()))));
        messages.put(
                "news-several",
                new Word.News(List.of(
                        Claim.alive(OTHER_PEER, 1), suspected(3L, 4L), new Claim(PEER, Standing.LEFT, 2, List.of()))));
        messages.put(
                "ask",
                new Word.Ask(IntStream.range(0, Register.BUCKETS)
                        .map(i -> i * 0x9e37_79b9)
                        .toArray()));
        messages.put("ask-empty", new Word.Ask(new int[Register.BUCKETS]));
        messages.put("page-empty", new Word.Page(List.of()));
        messages.put(
                "page",
                new Word.Page(List.of(
                        new Word.Page.Aged(Claim.alive(PEER, 5), 0),
                        new Word.Page.Aged(suspected(7L, 8L, 9L), 1),
                        new Word.Page.Aged(new Claim(OTHER_PEER, Standing.GONE, 6, List.of()), 3600),
                        new Word.Page.Aged(new Claim(PEER, Standing.LEFT, 0, List.of()), 1e9))));
        return messages;
    }

    private static Claim suspected(Long... accusers) {
        return new Claim(PEER, Standing.SUSPECTED, 1, List.of(accusers));
    }

    /** Each message's number on the wire, which chooses the reader of its bytes. */
    private static int number(Word message) {
        if (message instanceof Word.Probe) {
            return 1;
        } else if (message instanceof Word.Ack) {
            return 2;
        } else if (message instanceof Word.Errand) {
            return 3;
        } else if (message instanceof Word.Done) {
            return 4;
        } else if (message instanceof Word.News) {
            return 5;
        } else if (message instanceof Word.Ask) {
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
                .map(each -> DynamicTest.dynamicTest(each.getKey(), () -> {
                    assertEquals(number(each.getValue()), each.getValue().typeNumber());
                    assertEquals(
                            HexFormat.of().formatHex(RECORDED.getOrDefault(each.getKey(), new byte[0])),
                            HexFormat.of().formatHex(encode(each.getValue())),
                            each.getKey());
                }));
    }

    @TestFactory
    Stream<DynamicTest> recordedBytesAreReadAsTheMessage() {
        return MESSAGES.entrySet().stream()
                .map(each -> DynamicTest.dynamicTest(each.getKey(), () -> {
                    Word message = each.getValue();
                    Message read = Word.READERS.get(number(message)).apply(new FieldReader(RECORDED.get(each.getKey())));
                    if (message instanceof Word.Ask ask) {
                        assertArrayEquals(ask.digests(), ((Word.Ask) read).digests());
                    } else {
                        assertEquals(message, read);
                    }
                }));
    }

    @Test
    void everyFormOfMessageIsRecorded() {
        assertEquals(MESSAGES.keySet(), RECORDED.keySet());
        assertEquals(
                Arrays.stream(Word.class.getPermittedSubclasses()).collect(Collectors.toSet()),
                MESSAGES.values().stream().map(Object::getClass).collect(Collectors.toSet()));
        assertEquals(Set.of(1, 2, 3, 4, 5, 6, 7), Word.READERS.keySet());
        var standings = new HashSet<Standing>();
        for (Word message : MESSAGES.values()) {
            if (message instanceof Word.News news) {
                news.claims().forEach(claim -> standings.add(claim.standing()));
            }
        }
        assertEquals(EnumSet.allOf(Standing.class), standings);
    }

    @Test
    void ageIsWrittenInWholeSeconds() {
        var aged = new Word.Page(List.of(
                new Word.Page.Aged(Claim.alive(PEER, 5), 0.9),
                new Word.Page.Aged(suspected(9L, 7L, 8L, 7L), 1.99),
                new Word.Page.Aged(new Claim(OTHER_PEER, Standing.GONE, 6, List.of(1L)), 3600.5),
                new Word.Page.Aged(new Claim(PEER, Standing.LEFT, 0, List.of()), 1e9)));
        assertArrayEquals(RECORDED.get("page"), encode(aged));
    }
}
