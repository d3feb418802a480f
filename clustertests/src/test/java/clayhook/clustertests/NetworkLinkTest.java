package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.clustertests.NetworkLink.Delivery;
import clayhook.clustertests.NetworkLink.Departure;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Sends 1000 numbered datagrams of 100 bytes through a link, one per millisecond. */
class NetworkLinkTest {
    private static final int DATAGRAMS = 1000, DATAGRAM_BYTES = 100;

    private static List<Departure> sendAll(NetworkLink link) {
        var out = new ArrayList<Departure>();
        for (int i = 0; i < DATAGRAMS; i++) {
            out.addAll(link.transmit(
                    ByteBuffer.allocate(DATAGRAM_BYTES).putInt(i).putInt(i).array(), i / 1000.0));
        }
        out.sort(Comparator.comparingDouble(Departure::at));
        return out;
    }

    private static NetworkLink link(LinkFault fault) {
        var link = new NetworkLink(new SplittableRandom(1));
        link.setFault(fault);
        return link;
    }

    private static boolean isIntact(byte[] bytes) {
        ByteBuffer numbers = ByteBuffer.wrap(bytes);
        if (bytes.length != DATAGRAM_BYTES) {
            return false;
        }
        int first = numbers.getInt();
        int second = numbers.getInt();
        return first == second
                && IntStream.range(numbers.position(), DATAGRAM_BYTES).allMatch(i -> bytes[i] == 0);
    }

    @ParameterizedTest
    @CsvSource({
        "0, 0, 0, 0, 0",
        "0.3, 0, 0, 0, 0",
        "0, 0.3, 0, 0, 0",
        "0, 0, 0.3, 0, 0",
        "0, 0, 0, 0.3, 0",
        "0, 0, 0, 0, 0.2",
        "0.2, 0.2, 0.2, 0.2, 0.1"
    })
    void linkAppliesExactlyTheSharesOfItsFault(double loss, double twice, double late, double garbled, double delay) {
        NetworkLink link = link(new LinkFault(false, loss, twice, late, garbled, delay, 0));
        List<Departure> left = sendAll(link);
        double delivered = DATAGRAMS - link.count(Delivery.LOST);
        assertEquals(loss, 1 - delivered / DATAGRAMS, 0.05);
        assertEquals(twice, link.count(Delivery.DUPLICATED) / delivered, 0.05);
        assertEquals(late, link.count(Delivery.DELAYED) / delivered, 0.05);
        assertEquals(garbled, link.count(Delivery.CORRUPTED) / delivered, 0.05);
        assertEquals(delivered + link.count(Delivery.DUPLICATED), left.size());
        List<byte[]> intact = left.stream()
                .map(Departure::bytes)
                .filter(NetworkLinkTest::isIntact)
                .toList();
        assertEquals(link.count(Delivery.CORRUPTED), left.size() - intact.size());
        int overtaken = 0;
        for (int i = 1; i < intact.size(); i++) {
            overtaken += ByteBuffer.wrap(intact.get(i)).getInt()
                            < ByteBuffer.wrap(intact.get(i - 1)).getInt()
                    ? 1
                    : 0;
        }
        assertEquals(late + twice > 0, overtaken > 0);
        assertEquals(delay, left.get(0).at(), late + twice > 0 ? NetworkLink.REORDER_DELAY_SECONDS : 1e-9);
    }

    @ParameterizedTest
    @CsvSource({"true, 0, 0, 0", "false, 20000, 390, 2"})
    void cutLinkDropsAllDatagramsAndSlowLinkKeepsItsRateWithBoundedQueue(
            boolean cut, double rate, int minLeft, double lastAt) {
        NetworkLink link = link(new LinkFault(cut, 0, 0, 0, 0, 0, rate));
        List<Departure> left = sendAll(link);
        assertTrue(
                left.size() >= minLeft && left.size() <= rate / DATAGRAM_BYTES * (1 + NetworkLink.MAX_QUEUE_SECONDS),
                left.size() + " left");
        assertTrue(left.stream().allMatch(departure -> departure.at() <= lastAt + 0.001));
        link.setFault(LinkFault.NONE);
        assertArrayEquals(
                new byte[] {1}, link.transmit(new byte[] {1}, 5).get(0).bytes());
    }
}
