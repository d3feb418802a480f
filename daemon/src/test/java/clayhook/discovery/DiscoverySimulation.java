package clayhook.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Routers and a discovery service that handles one call after the other, in virtual time. Watches are opened anew when
 * their waits are over.
 */
final class DiscoverySimulation {
    /** The service queues a call for so long before it rejects it. */
    static final double QUEUE_LIMIT_SECONDS = 2;

    private record ScheduledCall(double at, WatchingRouter router, boolean isCheck) {}

    private static final class WatchingRouter {
        final WatchLivenessCheck livenessCheck;
        final double longPollSeconds;
        double checkAt;
        boolean watched;
        /** Calls for a watch that were rejected since a call was answered. */
        int rejectedWatches;
        /** When it found out that its watch is silent. */
        double foundAt = Double.POSITIVE_INFINITY;

        WatchingRouter(int seed) {
            var random = new Random(seed);
            livenessCheck = new WatchLivenessCheck(random);
            longPollSeconds = 7 + 3 * random.nextDouble();
        }
    }

    private final List<WatchingRouter> routers = new ArrayList<>();
    private final PriorityQueue<ScheduledCall> queue = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
    private final Random random = new Random(7);
    private final double secondsPerCall;
    private double busyUntil;
    /** From then on watches report nothing. */
    double silentAt = Double.POSITIVE_INFINITY;
    /** Calls that opened a watch. */
    int watches;
    /** Calls that were to open one and were rejected. */
    int rejectedWatches;

    DiscoverySimulation(int routers, double allCalls) {
        secondsPerCall = allCalls / routers;
        for (int i = 0; i < routers; i++) {
            var router = new WatchingRouter(i);
            this.routers.add(router);
            queue.add(new ScheduledCall(10 * random.nextDouble(), router, false));
        }
    }

    /** When the last router found out that its watch is silent; infinite where one has not. */
    double lastFoundAt() {
        return routers.stream().mapToDouble(router -> router.foundAt).max().orElse(0);
    }

    /** Runs up to a time. */
    void run(double until) {
        while (queue.peek().at < until) {
            ScheduledCall due = queue.poll();
            if (!due.isCheck || due.at == due.router.checkAt) {
                call(due.router, due.isCheck, due.at);
            }
        }
    }

    private void call(WatchingRouter router, boolean isCheck, double now) {
        double answeredAt = Math.max(now, busyUntil) + secondsPerCall;
        if (answeredAt > now + QUEUE_LIMIT_SECONDS) {
            onRejected(router, isCheck, now + QUEUE_LIMIT_SECONDS);
        } else {
            busyUntil = answeredAt;
            onAnswered(router, isCheck, now, answeredAt);
        }
    }

    private void onRejected(WatchingRouter router, boolean isCheck, double now) {
        router.livenessCheck.onRejected();
        if (isCheck) {
            scheduleCheck(router, now, router.livenessCheck.nextIntervalSeconds());
        } else {
            rejectedWatches++;
            router.rejectedWatches++;
            queue.add(new ScheduledCall(now + 0.5 + random.nextDouble(), router, false));
        }
    }

    private void onAnswered(WatchingRouter router, boolean isCheck, double sentAt, double answeredAt) {
        if (isCheck) {
            router.livenessCheck.onAnswered(answeredAt - sentAt);
        } else {
            watches++;
            double maxWaitSeconds = router.livenessCheck.nextWatchWaitSeconds(router.rejectedWatches);
            double waitSeconds = Math.min(router.longPollSeconds, maxWaitSeconds);
            queue.add(new ScheduledCall(sentAt + waitSeconds, router, false));
        }
        router.rejectedWatches = 0;
        if (answeredAt >= silentAt) {
            router.foundAt = Math.min(router.foundAt, answeredAt);
        }
        double lastAnswerAt =
                isCheck || sentAt > silentAt ? answeredAt : sentAt + (router.watched ? 0 : answeredAt - sentAt);
        scheduleCheck(router, lastAnswerAt, router.livenessCheck.nextIntervalSeconds());
        router.watched = true;
    }

    private void scheduleCheck(WatchingRouter router, double now, double seconds) {
        router.checkAt = now + seconds;
        queue.add(new ScheduledCall(router.checkAt, router, true));
    }
}
