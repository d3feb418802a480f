package clayhook.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WatchLivenessCheckTest {
    /** Seconds: what the service lets a call wait for its turn. */
    private static final double QUEUE_LIMIT_SECONDS = 2;

    @Test
    void checkAndItsRetryFitIntoFiveSeconds() {
        for (int seed = 0; seed < 1000; seed++) {
            var checks = new WatchLivenessCheck(new Random(seed));
            double first = checks.nextIntervalSeconds() + QUEUE_LIMIT_SECONDS;
            assertTrue(first + checks.nextRetrySeconds() < 5, first + " s");
        }
    }

    @Test
    void failedCheckIsRetriedSoonWithExponentialBackoff() {
        var checks = new WatchLivenessCheck(new Random(1));
        assertTrue(checks.nextRetrySeconds() < 0.4);
        double last = 0;
        for (int i = 0; i < 10; i++) {
            last = checks.nextRetrySeconds();
        }
        assertTrue(last >= 1.2 && last <= 1.5, last + " s");
        checks.onAnswered(0.01);
        assertTrue(checks.nextRetrySeconds() < 0.4);
    }

    /** Seconds after the start of all routers. */
    private static final double SETTLING_SECONDS = 30;

    /**
     * A fleet and a service that handles one call after the other; watches are opened anew when their waits are over.
     */
    private static final class DiscoverySimulation {
        private record ScheduledCall(double at, WatchingRouter router, boolean isCheck) {}

        private static final class WatchingRouter {
            final WatchLivenessCheck livenessCheck;
            final double longPollSeconds;
            double checkAt;
            boolean watched;
            /** Since when its watch has been silent, and when it found out. */
            double foundAt = Double.POSITIVE_INFINITY;

            WatchingRouter(int seed) {
                var random = new Random(seed);
                livenessCheck = new WatchLivenessCheck(random);
                longPollSeconds = 7 + 3 * random.nextDouble();
            }
        }

        final List<WatchingRouter> routers = new ArrayList<>();
        final PriorityQueue<ScheduledCall> queue = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
        final Random random = new Random(7);
        final double secondsPerCall;
        double busyUntil;
        double silentAt = Double.POSITIVE_INFINITY;
        int watches, rejectedWatches;

        DiscoverySimulation(int routers, double allCalls) {
            secondsPerCall = allCalls / routers;
            for (int i = 0; i < routers; i++) {
                var router = new WatchingRouter(i);
                this.routers.add(router);
                queue.add(new ScheduledCall(10 * random.nextDouble(), router, false));
            }
        }

        void run(double until) {
            while (queue.peek().at < until) {
                ScheduledCall due = queue.poll();
                if (!due.isCheck || due.at == due.router.checkAt) {
                    call(due.router, due.isCheck, due.at);
                }
            }
        }

        private void call(WatchingRouter router, boolean check, double now) {
            double at = Math.max(now, busyUntil) + secondsPerCall;
            if (at > now + QUEUE_LIMIT_SECONDS) {
                router.livenessCheck.onRejected();
                rejectedWatches += check ? 0 : 1;
                if (check) {
                    scheduleCheck(router, now + QUEUE_LIMIT_SECONDS, router.livenessCheck.nextIntervalSeconds());
                } else {
                    queue.add(new ScheduledCall(now + QUEUE_LIMIT_SECONDS + 0.5 + random.nextDouble(), router, false));
                }
                return;
            }
            busyUntil = at;
            if (check) {
                router.livenessCheck.onAnswered(at - now);
            } else {
                watches++;
                queue.add(new ScheduledCall(now + router.longPollSeconds, router, false));
            }
            router.foundAt = at >= silentAt ? Math.min(router.foundAt, at) : router.foundAt;
            if (check || now > silentAt) {
                scheduleCheck(router, at, router.livenessCheck.nextIntervalSeconds());
            } else {
                scheduleCheck(
                        router, now + (router.watched ? 0 : at - now), router.livenessCheck.nextIntervalSeconds());
            }
            router.watched = true;
        }

        private void scheduleCheck(WatchingRouter router, double now, double seconds) {
            router.checkAt = now + seconds;
            queue.add(new ScheduledCall(router.checkAt, router, true));
        }
    }

    /**
     * {@code allCalls}: the seconds that the service takes for one call of every router. Where that is so long that
     * checks would crowd it, watches go before checks.
     */
    @ParameterizedTest
    @CsvSource({
        "3, 2, 5",
        "6, 2, 5",
        "30, 2, 5",
        "100, 2, 5",
        "400, 2, 5",
        "3, 4, 12",
        "6, 4, 12",
        "100, 4, 12",
        "100, 8, 12"
    })
    void checksDetectASilentWatchInTimeWithoutCrowdingOutWatches(int routers, double allCalls, double within) {
        var world = new DiscoverySimulation(routers, allCalls);
        world.run(SETTLING_SECONDS);
        world.watches = world.rejectedWatches = 0;
        world.run(120);
        int watches = world.watches;
        int away = world.rejectedWatches;
        world.silentAt = 120;
        world.run(160);
        double worst = world.routers.stream()
                .mapToDouble(router -> router.foundAt - 120)
                .max()
                .orElse(0);
        assertTrue(worst < within, worst + " s");
        assertTrue(away <= 0.05 * (watches + away), away + " of " + (watches + away));
    }

    @Test
    void checkIntervalGrowsUnderOverloadAndShrinksAfterFastAnswers() {
        var checks = new WatchLivenessCheck(new Random(1));
        checks.onAnswered(0.02);
        for (int i = 0; i < 5; i++) {
            checks.onRejected();
        }
        assertTrue(checks.nextIntervalSeconds() >= 12);
        checks.onAnswered(1.5);
        assertTrue(checks.nextIntervalSeconds() >= 12);
        for (int i = 0; i < 30; i++) {
            checks.onAnswered(0.02);
        }
        assertEquals(2.2, checks.nextIntervalSeconds(), 0.23);
    }
}
