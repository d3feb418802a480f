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
    private static final int SENT = 1000, BYTES = 100;

    private static List<Departure> sent(NetworkLink link) {
        var out = new ArrayList<Departure>();
        for (int i = 0; i < SENT; i++) {
            out.addAll(link.transmit(ByteBuffer.allocate(BYTES).putInt(i).putInt(i).array(), i / 1000.0));
        }
        out.sort(Comparator.comparingDouble(Departure::at));
        return out;
    }

    private static NetworkLink link(LinkFault fault) {
        var link = new NetworkLink(new SplittableRandom(1));
        link.setFault(fault);
        return link;
    }

    private static boolean whole(byte[] bytes) {
        ByteBuffer numbers = ByteBuffer.wrap(bytes);
        if (bytes.length != BYTES) {
            return false;
        }
        int first = numbers.getInt();
        int second = numbers.getInt();
        return first == second && IntStream.range(numbers.position(), BYTES).allMatch(i -> bytes[i] == 0);
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
    void eachShareOfTroubleIsThereAndNoOther(double loss, double twice, double late, double garbled, double delay) {
        NetworkLink link = link(new LinkFault(false, loss, twice, late, garbled, delay, 0));
        List<Departure> left = sent(link);
        double came = SENT - link.count(Delivery.LOST);
        assertEquals(loss, 1 - came / SENT, 0.05);
        assertEquals(twice, link.count(Delivery.DUPLICATED) / came, 0.05);
        assertEquals(late, link.count(Delivery.DELAYED) / came, 0.05);
        assertEquals(garbled, link.count(Delivery.CORRUPTED) / came, 0.05);
        assertEquals(came + link.count(Delivery.DUPLICATED), left.size());
        List<byte[]> whole = left.stream()
                .map(Departure::bytes)
                .filter(NetworkLinkTest::whole)
                .toList();
        assertEquals(link.count(Delivery.CORRUPTED), left.size() - whole.size());
        int overtaken = 0;
        for (int i = 1; i < whole.size(); i++) {
            overtaken += ByteBuffer.wrap(whole.get(i)).getInt()
                            < ByteBuffer.wrap(whole.get(i - 1)).getInt()
                    ? 1
                    : 0;
        }
        assertEquals(late + twice > 0, overtaken > 0);
        assertEquals(delay, left.get(0).at(), late + twice > 0 ? NetworkLink.REORDER_DELAY_SECONDS : 1e-9);
    }

    @ParameterizedTest
    @CsvSource({"true, 0, 0, 0", "false, 20000, 390, 2"})
    void aCutLinkLetsNothingThroughAndASlowOneItsRateWithABoundedQueue(
            boolean cut, double rate, int least, double end) {
        NetworkLink link = link(new LinkFault(cut, 0, 0, 0, 0, 0, rate));
        List<Departure> left = sent(link);
        assertTrue(
                left.size() >= least && left.size() <= rate / BYTES * (1 + NetworkLink.MAX_QUEUE_SECONDS), left.size() + " left");
        assertTrue(left.stream().allMatch(departure -> departure.at() <= end + 0.001));
        link.setFault(LinkFault.NONE);
        assertArrayEquals(new byte[] {1}, link.transmit(new byte[] {1}, 5).get(0).bytes());
    }
}
