package clayhook.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class InputBudgetTest {
    private static final int CLIENTS = 5;
    private static final int MAX_RECEIVED_BYTES = 200_000;

    /** Guards against clients that together keep more input than the process has memory for. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 1000, 50_000, 300_000})
    void clientsKeepAtMostTheirOwnAndTheSharedBytes(int sharedBytes) {
        var random = new Random(sharedBytes);
        var budget = new InputBudget(sharedBytes);
        InputBudget.Share[] shares =
                Stream.generate(budget::newShare).limit(CLIENTS).toArray(InputBudget.Share[]::new);
        int mostKept = 0;
        for (int i = 0; i < 10_000; i++) {
            InputBudget.Share share = shares[random.nextInt(CLIENTS)];
            int received = Math.min(random.nextInt(MAX_RECEIVED_BYTES), Math.max(0, share.readableBytes()));
            share.update(random.nextInt(7) == 0 ? 0 : share.keptBytes() + received);
            assertTrue(share.keptBytes() <= InputBudget.MAX_BYTES);
            mostKept = Math.max(
                    mostKept,
                    Arrays.stream(shares).mapToInt(InputBudget.Share::keptBytes).sum());
        }
        assertTrue(mostKept <= sharedBytes + CLIENTS * InputBudget.OWN_BYTES, mostKept + " bytes");
        assertTrue(mostKept > sharedBytes, mostKept + " bytes");
    }

    @Test
    void clientReadsItsOwnBytesAlthoughOthersKeepAllShared() {
        var budget = new InputBudget(1000);
        InputBudget.Share first = budget.newShare();
        first.update(first.readableBytes());
        assertEquals(0, first.readableBytes());
        assertFalse(first.isBelowHalf());
        InputBudget.Share second = budget.newShare();
        assertEquals(InputBudget.OWN_BYTES, second.readableBytes());
        first.update(0);
        assertTrue(first.isBelowHalf());
        assertEquals(InputBudget.OWN_BYTES + 1000, second.readableBytes());
    }
}
