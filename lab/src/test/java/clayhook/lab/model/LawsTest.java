package clayhook.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks laws that hold for every queue and replication log, independent of the seed. */
class LawsTest {
    private static final class QueueStatistics {
        double totalResponseTime;
        double worked;
        double offered;
        long done;
        long refused;
        double jobSeconds;
        double lastChangeAt;
        int maxQueued;
    }

    /** Runs Poisson arrivals with exponentially distributed work, and the given speeds one after the other. */
    private static QueueStatistics simulate(
            int cores, int queue, double rate, double work, int count, double[] speeds) {
        var scheduler = new VirtualScheduler(0);
        var machine = new CpuModel(scheduler, cores, queue);
        var random = RandomSource.XO_RO_SHI_RO_128_PP.create(9L);
        var exponential = ZigguratSampler.Exponential.of(random);
        var statistics = new QueueStatistics();
        double at = 0;
        for (int i = 0; i < count; i++) {
            at += exponential.sample() / rate;
            double arrived = at;
            double workSeconds = exponential.sample() * work;
            scheduler.scheduleAt(arrived, () -> {
                statistics.jobSeconds += machine.jobs() * (scheduler.now() - statistics.lastChangeAt);
                statistics.lastChangeAt = scheduler.now();
                boolean accepted = machine.offer(new NodeJob(workSeconds, arrived, job -> {
                    statistics.jobSeconds += (machine.jobs() + 1) * (scheduler.now() - statistics.lastChangeAt);
                    statistics.lastChangeAt = scheduler.now();
                    statistics.totalResponseTime += scheduler.now() - arrived;
                    statistics.done++;
                }));
                statistics.offered += accepted ? workSeconds : 0;
                statistics.refused += accepted ? 0 : 1;
                statistics.maxQueued = Math.max(statistics.maxQueued, machine.queuedJobs());
            });
        }
        for (int i = 0; i < speeds.length; i++) {
            double speed = speeds[i];
            scheduler.scheduleAt(at * i / speeds.length, () -> machine.setSpeed(speed));
        }
        scheduler.runUntil(at * 10);
        statistics.worked = machine.workedSeconds();
        return statistics;
    }

    private static double erlangC(int servers, double load) {
        double sum = 0;
        double term = 1;
        for (int k = 0; k < servers; k++) {
            sum += term;
            term *= load / (k + 1);
        }
        double lastTerm = term * servers / (servers - load);
        return lastTerm / (sum + lastTerm);
    }

    @ParameterizedTest
    @CsvSource({"1, 0.5", "1, 0.8", "2, 0.7", "4, 0.6", "8, 0.85"})
    void responseTimesMatchErlangCAndLittlesLaw(int cores, double utilization) {
        double work = 0.01;
        double rate = utilization * cores / work;
        QueueStatistics statistics = simulate(cores, Integer.MAX_VALUE, rate, work, 400_000, new double[0]);
        double expected = work + erlangC(cores, utilization * cores) * work / (cores * (1 - utilization));
        double mean = statistics.totalResponseTime / statistics.done;
        assertEquals(expected, mean, 0.04 * expected);
        assertEquals(
                statistics.done / statistics.lastChangeAt * mean,
                statistics.jobSeconds / statistics.lastChangeAt,
                0.001 * statistics.jobSeconds / statistics.lastChangeAt);
    }

    @ParameterizedTest
    @CsvSource({"1, 5", "3, 0", "2, 50"})
    void workIsConservedAndQueueIsBoundedAtAnySpeed(int cores, int queue) {
        QueueStatistics statistics =
                simulate(cores, queue, 150, 0.02, 20_000, new double[] {1, 0.3, 0, 0.7, 1, 0.1, 1});
        assertEquals(20_000, statistics.done + statistics.refused);
        assertEquals(statistics.offered, statistics.worked, 1e-6 * statistics.offered);
        assertTrue(statistics.refused > 0 && statistics.maxQueued == queue);
    }

    @Test
    void positionNeverDecreasesAndSlowLogLags() {
        var random = RandomSource.XO_RO_SHI_RO_128_PP.create(3L);
        var log = new ReplicaLog(0.02, 0.001);
        double position = 0;
        double maxLag = 0;
        for (double now = 1; now < 60; now += 0.002) {
            if (random.nextDouble() < 0.3) {
                log.committed(now);
            }
            if (Math.abs(now - 20) < 0.001 || Math.abs(now - 30) < 0.001) {
                log.setSlowness(now, now < 25 ? 20 : 1);
            }
            if (Math.abs(now - 45) < 0.001) {
                log.stall(now, now + 2);
            }
            double next = log.position(now);
            assertTrue(next >= position && next <= now - 0.02 + 1e-9, now + ": " + next + " after " + position);
            position = next;
            maxLag = now < 40 ? Math.max(maxLag, now - next) : maxLag;
            // Delayed commits are applied at full speed once the log has recovered.
            assertTrue(now < 33 || now > 45 || now - next < 0.1, now + ": " + (now - next) + " behind");
        }
        assertTrue(maxLag > 5 && log.pending() < 20, "lag " + maxLag);
    }
}
