package clayhook.clustertests;

import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Clients of one router that each send one sound read at a time with pauses, and record how each ended. Unlike
 * {@link RequestAudit}, their verdict makes no allowance for a busy machine. Thread-safe.
 */
final class SteadyClients implements AutoCloseable {
    private static final String KIND = "steady";
    private static final int MIN_THINK_MS = 80;
    private static final int MAX_THINK_MS = 400;

    private final RouterFleet fleet;
    private final RouterProcess router;
    private final double timeoutSeconds;
    private final List<Thread> threads = new ArrayList<>();
    private final List<RequestRecord> records = new ArrayList<>();
    private volatile boolean running = true;

    /** Starts that number of clients; {@code seed} determines their pauses. */
    SteadyClients(RouterFleet fleet, RouterProcess router, int clients, double timeoutSeconds, long seed) {
        this.fleet = fleet;
        this.router = router;
        this.timeoutSeconds = timeoutSeconds;
        for (int i = 0; i < clients; i++) {
            var random = new Random(seed * 31 + i);
            var thread = new Thread(() -> run(random), KIND + " client " + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void run(Random random) {
        while (running) {
            try (var client =
                    new RecordingClient(fleet.attempts(), router.name(), router.address(), KIND, timeoutSeconds)) {
                try {
                    client.startUp();
                    exchangeUntilEnd(client, random);
                } finally {
                    add(client.records());
                }
            } catch (SocketException e) {
                // not accepted: the router owes nothing
            } catch (IOException e) {
                throw new IllegalStateException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void exchangeUntilEnd(RecordingClient client, Random random) throws InterruptedException {
        boolean open = true;
        while (running && open) {
            open = client.exchange();
            Thread.sleep(MIN_THINK_MS + random.nextInt(MAX_THINK_MS - MIN_THINK_MS));
        }
    }

    private synchronized void add(List<RequestRecord> ended) {
        records.addAll(ended);
    }

    /** The records of the requests of clients whose connections have ended; complete after {@link #close}. */
    synchronized List<RequestRecord> records() {
        return List.copyOf(records);
    }

    /** Describes the requests that got no answer by half a second after their time. */
    List<String> unansweredInTime() {
        return records().stream()
                .filter(record -> !record.isAnswered()
                        || record.seconds() > record.timeoutSeconds() + RecordingClient.LATE_ANSWER_SECONDS)
                .map(RequestRecord::toString)
                .toList();
    }

    /** The number of requests that were answered with a value. */
    long served() {
        return records().stream()
                .filter(record -> record.outcome() == RequestRecord.Outcome.SERVED)
                .count();
    }

    /** The median and the 99th percentile of the time from a request to its outcome, in milliseconds, for reports. */
    String latencies() {
        List<Double> sorted =
                records().stream().map(RequestRecord::seconds).sorted().toList();
        return sorted.isEmpty()
                ? "none"
                : Math.round(sorted.get(sorted.size() / 2) * 1000) + " ms, "
                        + Math.round(sorted.get(sorted.size() * 99 / 100) * 1000) + " ms";
    }

    /** Stops the clients once their requests have ended. */
    @Override
    public void close() {
        running = false;
        ClientFlood.join(threads);
    }
}
