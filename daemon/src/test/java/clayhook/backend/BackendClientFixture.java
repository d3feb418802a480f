package clayhook.backend;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.Request;
import clayhook.config.OperatorConfiguration;
import clayhook.metrics.EventCounters;
import clayhook.protocol.OutboundStatement;
import clayhook.transport.DescriptorBudget;
import clayhook.transport.SlewedClock;
import clayhook.transport.Transport;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Predicate;

/** A {@link BackendClient} with its own event loop, which records the results that the client reports. */
final class BackendClientFixture implements BackendClient.Listener, AutoCloseable {
    /** A time limit that no test reaches. */
    static final double LONG_SECONDS = 60;

    private static final int MEMORY_BYTES = 1 << 24;
    private static final int DESCRIPTORS = 1024;
    /** The offset of the value in a DataRow with one column. */
    private static final int VALUE_OFFSET = 11;

    /**
     * The result of an attempt or a health check.
     *
     * @param attempt null for a health check
     * @param value the value of the single row of the answer, or null
     */
    record FinishedAttempt(Attempt attempt, AttemptOutcome outcome, String value) {}

    /** A step of a test that runs on the event loop. */
    interface Step {
        void run() throws Exception;
    }

    final Transport transport = Transport.tcp();
    final SlewedClock clock = new SlewedClock();
    final BlockingQueue<FinishedAttempt> finished = new LinkedBlockingQueue<>();
    /** The result of the attempt or health check that finished last. */
    volatile AttemptResult lastResult;
    /** The result of {@link #mayStillSend(Attempt)}. */
    volatile Predicate<Attempt> mayStillSend = attempt -> true;

    volatile boolean nodesKnown = true;
    BackendClient client;

    /** Creates a fixture whose client has time limits that no test reaches. */
    BackendClientFixture() {
        open(LONG_SECONDS, LONG_SECONDS);
    }

    /** Replaces the client by one with other time limits. */
    void open(double connectTimeoutSeconds, double idleSeconds) {
        open(connectTimeoutSeconds, idleSeconds, DESCRIPTORS);
    }

    void open(double connectTimeoutSeconds, double idleSeconds, int descriptors) {
        client = new BackendClient(
                transport,
                clock,
                new DescriptorBudget(descriptors),
                MEMORY_BYTES,
                connectTimeoutSeconds,
                idleSeconds,
                OperatorConfiguration.DEFAULTS,
                this,
                new EventCounters());
    }

    @Override
    public void close() {
        transport.close();
    }

    // ---- actions ----

    <T> T onLoop(Callable<T> step) throws Exception {
        return transport.eventLoop().submit(step).get();
    }

    void runOnLoop(Step step) throws Exception {
        onLoop(() -> {
            step.run();
            return null;
        });
    }

    /** Registers the single node of the tests at an address. */
    Node register(InetSocketAddress address) throws Exception {
        return onLoop(() -> client.registerNode("n", "a", 1, address));
    }

    Attempt newAttempt(Node node) {
        return newAttempt(node, LONG_SECONDS);
    }

    Attempt newAttempt(Node node, double timeoutSeconds) {
        double now = clock.now();
        double timeoutAt = now + timeoutSeconds;
        return new Attempt(new Request(null, 1, null, 0, now, timeoutAt), node, true, now, timeoutAt);
    }

    static OutboundStatement statement(String text) {
        return seconds -> text.getBytes(UTF_8);
    }

    Attempt send(Node node, String text) throws Exception {
        return send(node, statement(text));
    }

    Attempt send(Node node, OutboundStatement statement) throws Exception {
        Attempt attempt = newAttempt(node);
        runOnLoop(() -> client.send(attempt, statement));
        return attempt;
    }

    void sweep() throws Exception {
        runOnLoop(client::sweep);
    }

    void expire(Attempt attempt) throws Exception {
        runOnLoop(() -> client.expire(attempt));
    }

    // ---- waiting for results ----

    void await(Callable<Boolean> condition) throws Exception {
        while (!onLoop(condition)) {
            Thread.onSpinWait();
        }
    }

    void awaitIdle(int connections) throws Exception {
        await(() -> client.idleCount() == connections);
    }

    int connectionCount() throws Exception {
        return onLoop(client::connectionCount);
    }

    /** Sweeps repeatedly until an attempt or a health check has finished, and returns it. */
    FinishedAttempt sweepUntilFinished() throws Exception {
        while (finished.isEmpty()) {
            sweep();
        }
        return finished.take();
    }

    // ---- listener calls ----

    @Override
    public void onAttemptFinished(Attempt attempt, AttemptResult result, List<byte[]> answer, String sqlState) {
        String value = answer == null ? null : new String(answer.get(1), ISO_8859_1).substring(VALUE_OFFSET);
        add(attempt, result, value);
    }

    @Override
    public void onHealthCheck(Node node, AttemptResult result) {
        add(null, result, null);
    }

    private void add(Attempt attempt, AttemptResult result, String value) {
        lastResult = result;
        finished.add(new FinishedAttempt(attempt, result.outcome(), value));
    }

    @Override
    public boolean mayStillSend(Attempt attempt) {
        return mayStillSend.test(attempt);
    }

    @Override
    public boolean isKnown(Node node) {
        return nodesKnown;
    }
}
