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
    private static final class Measured {
        double spent;
        double worked;
        double offered;
        long done;
        long refused;
        double inside;
        double last;
        int most;
    }

    /** Runs Poisson arrivals with exponentially distributed work, and the given speeds one after the other. */
    private static Measured play(int cores, int queue, double rate, double work, int count, double[] speeds) {
        var scheduler = new VirtualScheduler(0);
        var machine = new CpuModel(scheduler, cores, queue);
        var random = RandomSource.XO_RO_SHI_RO_128_PP.create(9L);
        var exponential = ZigguratSampler.Exponential.of(random);
        var measured = new Measured();
        double at = 0;
        for (int i = 0; i < count; i++) {
            at += exponential.sample() / rate;
            double arrived = at;
            double asked = exponential.sample() * work;
            scheduler.scheduleAt(arrived, () -> {
                measured.inside += machine.jobs() * (scheduler.now() - measured.last);
                measured.last = scheduler.now();
                boolean taken = machine.offer(new NodeJob(asked, arrived, job -> {
                    measured.inside += (machine.jobs() + 1) * (scheduler.now() - measured.last);
                    measured.last = scheduler.now();
                    measured.spent += scheduler.now() - arrived;
                    measured.done++;
                }));
                measured.offered += taken ? asked : 0;
                measured.refused += taken ? 0 : 1;
                measured.most = Math.max(measured.most, machine.queuedJobs());
            });
        }
        for (int i = 0; i < speeds.length; i++) {
            double speed = speeds[i];
            scheduler.scheduleAt(at * i / speeds.length, () -> machine.setSpeed(speed));
        }
        scheduler.runUntil(at * 10);
        measured.worked = machine.workedSeconds();
        return measured;
    }

    private static double erlangC(int servers, double load) {
        double sum = 0;
        double term = 1;
        for (int k = 0; k < servers; k++) {
            sum += term;
            term *= load / (k + 1);
        }
        double last = term * servers / (servers - load);
        return last / (sum + last);
    }

    @ParameterizedTest
    @CsvSource({"1, 0.5", "1, 0.8", "2, 0.7", "4, 0.6", "8, 0.85"})
    void timesAreThoseOfTheClosedFormAndLittlesLawHolds(int cores, double used) {
        double work = 0.01;
        double rate = used * cores / work;
        Measured measured = play(cores, Integer.MAX_VALUE, rate, work, 400_000, new double[0]);
        double expected = work + erlangC(cores, used * cores) * work / (cores * (1 - used));
        double mean = measured.spent / measured.done;
        assertEquals(expected, mean, 0.04 * expected);
        assertEquals(
                measured.done / measured.last * mean,
                measured.inside / measured.last,
                0.001 * measured.inside / measured.last);
    }

    @ParameterizedTest
    @CsvSource({"1, 5", "3, 0", "2, 50"})
    void workIsConservedAndTheQueueIsBoundedWhateverTheSpeed(int cores, int queue) {
        Measured measured = play(cores, queue, 150, 0.02, 20_000, new double[] {1, 0.3, 0, 0.7, 1, 0.1, 1});
        assertEquals(20_000, measured.done + measured.refused);
        assertEquals(measured.offered, measured.worked, 1e-6 * measured.offered);
        assertTrue(measured.refused > 0 && measured.most == queue);
    }

    @Test
    void aPositionNeverGoesBackAndASlowLogLags() {
        var random = RandomSource.XO_RO_SHI_RO_128_PP.create(3L);
        var log = new ReplicaLog(0.02, 0.001);
        double position = 0;
        double most = 0;
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
            most = now < 40 ? Math.max(most, now - next) : most;
            // Delayed commits are applied at full speed once the log has recovered.
            assertTrue(now < 33 || now > 45 || now - next < 0.1, now + ": " + (now - next) + " behind");
        }
        assertTrue(most > 5 && log.pending() < 20, "lag " + most);
    }
}
