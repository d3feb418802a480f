package clayhook.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates routers and a discovery service that handles calls one at a time, in virtual time. A watch is reopened when
 * its wait has elapsed.
 */
final class DiscoverySimulation {
    /** How long the service queues a call before it rejects it. */
    static final double QUEUE_LIMIT_SECONDS = 2;

    private record ScheduledCall(double at, WatchingRouter router, boolean isCheck) {}

    private static final class WatchingRouter {
        final WatchLivenessCheck livenessCheck;
        final double longPollSeconds;
        double checkAt;
        boolean watched;
        /** Calls to open a watch that were rejected since the last call was answered. */
        int rejectedWatchCalls;
        /** Time at which the router detected that its watch is dead; infinite before that. */
        double detectedAt = Double.POSITIVE_INFINITY;

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
    /** Time from which on the watches report no changes. */
    double watchesDeadAt = Double.POSITIVE_INFINITY;
    /** Answered calls that opened a watch. */
    int watches;
    /** Rejected calls to open a watch. */
    int rejectedWatchCalls;

    DiscoverySimulation(int routers, double secondsForAllCalls) {
        secondsPerCall = secondsForAllCalls / routers;
        for (int i = 0; i < routers; i++) {
            var router = new WatchingRouter(i);
            this.routers.add(router);
            queue.add(new ScheduledCall(10 * random.nextDouble(), router, false));
        }
    }

    /** Time at which the last router detected that its watch is dead; infinite if a router has not detected it. */
    double lastDetectedAt() {
        return routers.stream().mapToDouble(router -> router.detectedAt).max().orElse(0);
    }

    /** Runs the simulation up to a virtual time in seconds. */
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
            rejectedWatchCalls++;
            router.rejectedWatchCalls++;
            queue.add(new ScheduledCall(now + 0.5 + random.nextDouble(), router, false));
        }
    }

    private void onAnswered(WatchingRouter router, boolean isCheck, double sentAt, double answeredAt) {
        if (isCheck) {
            router.livenessCheck.onAnswered(answeredAt - sentAt);
        } else {
            watches++;
            double maxWaitSeconds = router.livenessCheck.nextWatchWaitSeconds(router.rejectedWatchCalls);
            double waitSeconds = Math.min(router.longPollSeconds, maxWaitSeconds);
            queue.add(new ScheduledCall(sentAt + waitSeconds, router, false));
        }
        router.rejectedWatchCalls = 0;
        if (answeredAt >= watchesDeadAt) {
            router.detectedAt = Math.min(router.detectedAt, answeredAt);
        }
        double lastAnswerAt =
                isCheck || sentAt > watchesDeadAt ? answeredAt : sentAt + (router.watched ? 0 : answeredAt - sentAt);
        scheduleCheck(router, lastAnswerAt, router.livenessCheck.nextIntervalSeconds());
        router.watched = true;
    }

    private void scheduleCheck(WatchingRouter router, double now, double seconds) {
        router.checkAt = now + seconds;
        queue.add(new ScheduledCall(router.checkAt, router, true));
    }
}
