package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the budget of one router and the sum over many routers. Times are seconds; a request is one second of work. */
class SlowStartBudgetTest {
    private static final double WINDOW = 3;
    private static final double TOKEN_LIFETIME = 1;
    private static final double REQUEST_WORK = 1;
    private static final double STEP = 0.01;
    private static final double START = 1000;

    /** The tolerated work rate at which a token becomes available every twenty seconds. */
    private static final double SLOW_RATE = 1 / 0.75 / 20;

    private final SlowStartBudget budget = new SlowStartBudget(WINDOW);

    private boolean hasToken(double rate, double now) {
        budget.refill(rate, REQUEST_WORK, now);
        return budget.hasToken();
    }

    @Test
    void firstTokenIsAvailableOnceDebtIsRefilled() {
        budget.restart(REQUEST_WORK / 2, START);
        assertFalse(budget.hasToken());
        assertFalse(hasToken(SLOW_RATE, START + 9.9));
        assertTrue(hasToken(SLOW_RATE, START + 10.1));
    }

    @Test
    void expiredTokenDoesNotDelayOrAdvanceTheNextOne() {
        budget.restart(REQUEST_WORK, START);
        assertTrue(hasToken(SLOW_RATE, START + 20.1));
        assertTrue(hasToken(SLOW_RATE, START + 20.9));
        assertFalse(hasToken(SLOW_RATE, START + 21.1));
        assertFalse(hasToken(SLOW_RATE, START + 39.9));
        assertTrue(hasToken(SLOW_RATE, START + 40.1));
    }

    @Test
    void tokenThatBecameAvailableBetweenRefillsExpires() {
        budget.restart(REQUEST_WORK, START);
        assertFalse(hasToken(SLOW_RATE, START + 35));
        assertTrue(hasToken(SLOW_RATE, START + 100.5));
        assertFalse(hasToken(SLOW_RATE, START + 1_000_010));
    }

    @Test
    void spentTokenMayBeUsedUntilItWouldHaveExpired() {
        budget.restart(REQUEST_WORK, START);
        assertTrue(hasToken(SLOW_RATE, START + 20.25));
        assertEquals(START + 21, budget.spend(REQUEST_WORK), 1e-6);
        assertFalse(hasToken(SLOW_RATE, START + 39.9));
    }

    /**
     * If the next token becomes available before the last one expires, a router holds one at any time, and never two.
     */
    @Test
    void routerWithHighRateHasOneTokenAfterIdleTime() {
        double rate = 2 / 0.75;
        budget.restart(REQUEST_WORK, START);
        assertTrue(hasToken(rate, START + 60));
        assertEquals(START + 60 + TOKEN_LIFETIME, budget.spend(REQUEST_WORK), 1e-6);
        assertFalse(budget.hasToken());
        assertTrue(hasToken(rate, START + 60.6));
    }

    @Test
    void tokensDoNotExpireWithoutAnOverloadWindow() {
        var unlimited = new SlowStartBudget(0);
        unlimited.restart(REQUEST_WORK, START);
        unlimited.refill(SLOW_RATE, REQUEST_WORK, START + 1000);
        assertTrue(unlimited.hasToken());
        assertEquals(Double.POSITIVE_INFINITY, unlimited.spend(REQUEST_WORK));
        assertFalse(unlimited.hasToken());
    }

    @Test
    void budgetIsOlderThanProcessStartedAfterLastRefill() {
        assertTrue(budget.isOlderThan(START));
        budget.restart(REQUEST_WORK, START + 1);
        assertFalse(budget.isOlderThan(START));
        assertTrue(budget.isOlderThan(START + 2));
        assertFalse(hasToken(0, START + 3));
    }

    /**
     * After idle time all routers send as soon as they have a token. The work sent in one window must stay within the
     * tolerated work, with its allowance for random variation, for any number of routers.
     */
    @ParameterizedTest
    @CsvSource({
        "3, 14, 1",
        "30, 14, 1",
        "120, 14, 1",
        "1000, 14, 1",
        "30, 200, 1",
        "120, 14, 10",
        "1000, 14, 10",
        "1000, 200, 10",
        "3200, 14, 10"
    })
    void allRoutersTogetherStayWithinToleratedWorkAfterIdleTime(int routers, double tolerable, double trafficFactor) {
        for (int seed = 0; seed < 20; seed++) {
            double sent =
                    workSentByAllRoutersAfterIdleTime(routers, tolerable / WINDOW, trafficFactor, new Random(seed));
            double limit = tolerable + 2 * Math.sqrt(tolerable) + 2;
            assertTrue(sent <= limit, sent + " sent, " + limit + " tolerable, seed " + seed);
        }
    }

    /** Returns the work sent in one window; every tenth router has {@code trafficFactor} times the traffic and rate. */
    private static double workSentByAllRoutersAfterIdleTime(
            int routers, double tolerableRate, double trafficFactor, Random random) {
        double[] traffic =
                random.doubles(routers).map(value -> 0.2 + 1.6 * value).toArray();
        for (int i = 0; i < routers; i += 10) {
            traffic[i] *= trafficFactor;
        }
        double all = DoubleStream.of(traffic).sum();
        List<SlowStartBudget> budgets = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            var each = new SlowStartBudget(WINDOW);
            each.restart(random.nextDouble() * REQUEST_WORK, START + 0.3 * random.nextDouble());
            budgets.add(each);
        }
        double sent = 0;
        for (double now = START + 60; now < START + 60 + WINDOW; now += STEP) {
            for (int i = 0; i < routers; i++) {
                SlowStartBudget each = budgets.get(i);
                each.refill(tolerableRate * traffic[i] / all, REQUEST_WORK, now);
                if (each.hasToken()) {
                    each.spend(REQUEST_WORK);
                    sent += REQUEST_WORK;
                }
            }
        }
        return sent;
    }
}
