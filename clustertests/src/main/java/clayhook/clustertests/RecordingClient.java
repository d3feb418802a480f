package clayhook.clustertests;

import static java.nio.charset.StandardCharsets.UTF_8;

import clayhook.clustertests.RequestRecord.Outcome;
import clayhook.protocol.MessageEncoder;
import clayhook.warmup.StubClient;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client with a blocking socket that records the outcome of each of its requests. Like a busy program, it sends
 * without checking first whether its connection has ended. Not thread-safe.
 */
final class RecordingClient implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong();
    /** Seconds after its deadline at which the protocol counts an answer as lost. */
    static final double LATE_ANSWER_SECONDS = 0.5;

    /** Seconds within which a router is ready for requests, also on a busy machine; no request is pending meanwhile. */
    private static final double START_UP_SECONDS = 10;

    private static final Set<String> REJECTION_CODES = Set.of("53300", "57P03");
    private static final double MILLIS_PER_SECOND = 1000;
    private static final int LENGTH_BYTES = 4;
    private static final String READ_CLASS = "any";
    /** Request class of {@link RouterFleet} that is not idempotent. */
    private static final String WRITE_CLASS = "charge";

    private record PendingRequest(String id, double at) {}

    private final AttemptAudit attempts;
    private final String router;
    private final String kind;
    private final double timeoutSeconds;
    private final Socket socket;
    private final DataInputStream in;
    private final Queue<PendingRequest> pendingRequests = new ArrayDeque<>();
    private final List<RequestRecord> records = new ArrayList<>();
    private boolean startUpPending;
    private boolean writeFailed;
    private boolean rejectedFatally;
    private boolean ended;

    /**
     * Connects to a router.
     *
     * @param attempts audit of the attempts that routers send to nodes for its requests
     * @param router name of the router, for the records
     * @param address address of the router, or of a relay to it
     * @param kind kind of client, for the records
     * @param timeoutSeconds client timeout of each request
     */
    RecordingClient(AttemptAudit attempts, String router, InetSocketAddress address, String kind, double timeoutSeconds)
            throws IOException {
        this.attempts = attempts;
        this.router = router;
        this.kind = kind;
        this.timeoutSeconds = timeoutSeconds;
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
    }

    /** Sends the start-up message and waits until the router is ready for requests. */
    void startUp() throws IOException {
        write(MessageEncoder.startupMessage("client", "core"));
        readAnswer(HistoryRecorder.now() + START_UP_SECONDS);
        ended = rejectedFatally;
    }

    /** Sends the start-up message and a request in one write, and waits for the answer to the request. */
    void startUpAndExchange() {
        try {
            send(MessageEncoder.startupMessage("client", "core"), 1);
            startUpPending = true;
        } catch (IOException e) {
            writeFailed = true;
        }
        awaitAnswers();
    }

    /** Sends that number of requests in one write. */
    void send(int count) throws IOException {
        send(Unpooled.EMPTY_BUFFER, count);
    }

    private void send(ByteBuf before, int count) throws IOException {
        List<String> ids = new ArrayList<>();
        ByteBuf all = Unpooled.buffer().writeBytes(before);
        for (int i = 0; i < count; i++) {
            String id = nextId();
            ids.add(id);
            // A client's timeout excludes the time spent behind earlier requests of the connection, so that only the
            // first request has a deadline that is known here.
            attempts.onSent(id, i == 0 ? timeoutSeconds : Double.POSITIVE_INFINITY, null);
            all.writeBytes(statement(id));
        }
        try {
            write(all);
        } finally {
            double now = HistoryRecorder.now();
            ids.forEach(id -> pendingRequests.add(new PendingRequest(id, now)));
        }
    }

    private void write(ByteBuf bytes) throws IOException {
        bytes.readBytes(socket.getOutputStream(), bytes.readableBytes());
    }

    /** Sends a write that must not be executed twice, and waits for its answer. */
    void exchangeWrite() {
        if (ended) {
            return;
        }
        String id = nextId();
        attempts.onSent(id, timeoutSeconds, null);
        try {
            write(statement(true, WRITE_CLASS, id));
        } catch (IOException e) {
            writeFailed = true;
        }
        pendingRequests.add(new PendingRequest(id, HistoryRecorder.now()));
        awaitAnswers();
    }

    /** Sends one request and waits for its answer; returns false if the connection has ended. */
    boolean exchange() {
        sendIgnoringFailure(1);
        return awaitAnswers();
    }

    /** Sends that number of requests; a failed write is recorded when the answers are awaited. */
    void sendIgnoringFailure(int count) {
        if (ended) {
            return;
        }
        try {
            send(count);
        } catch (IOException e) {
            writeFailed = true;
        }
    }

    /** Sends a request in two parts, with a pause of that number of seconds between them. */
    void sendInTwoParts(double pauseSeconds) throws InterruptedException {
        if (ended) {
            return;
        }
        String id = nextId();
        attempts.onSent(id, timeoutSeconds, null);
        ByteBuf all = statement(id);
        try {
            write(all.readSlice(all.readableBytes() / 2));
            Thread.sleep((long) (pauseSeconds * MILLIS_PER_SECOND));
            write(all);
        } catch (IOException e) {
            writeFailed = true;
        }
        pendingRequests.add(new PendingRequest(id, HistoryRecorder.now()));
    }

    /** Sends a request and closes the connection without waiting for the answer; adds no record. */
    void sendAndDisconnect() throws IOException {
        String id = nextId();
        attempts.onSent(id, timeoutSeconds, null);
        write(statement(id));
        socket.close();
        attempts.onDisconnected(id);
    }

    private static String nextId() {
        return "x" + IDS.incrementAndGet();
    }

    private ByteBuf statement(String id) {
        return statement(false, READ_CLASS, id);
    }

    private ByteBuf statement(boolean isWrite, String requestClass, String id) {
        long deadline = Math.round(timeoutSeconds * MILLIS_PER_SECOND);
        return StubClient.statement(isWrite, "id=" + id + ",c=" + requestClass + ",cluster=1,d=" + deadline);
    }

    /**
     * Waits until all requests are answered; returns false if the connection ends or an answer does not arrive in time.
     */
    boolean awaitAnswers() {
        while (!pendingRequests.isEmpty() && !ended) {
            // The timeout of a request begins when all earlier ones are answered.
            double endsAt =
                    HistoryRecorder.now() + timeoutSeconds + LATE_ANSWER_SECONDS + HistoryRecorder.MACHINE_SECONDS;
            try {
                Outcome outcome = readAnswer(endsAt);
                record(pendingRequests.poll(), outcome);
                ended = rejectedFatally && pendingRequests.isEmpty();
            } catch (SocketTimeoutException e) {
                recordAllPending(Outcome.SILENCE);
            } catch (EOFException e) {
                recordAllPending(outcomeOfEnd(Outcome.ENDED));
            } catch (IOException e) {
                recordAllPending(outcomeOfEnd(Outcome.RESET));
            }
        }
        return !ended;
    }

    /** After a failed write the system may report the end of the stream although the connection was reset. */
    private Outcome outcomeOfEnd(Outcome seen) {
        if (rejectedFatally) {
            return Outcome.ENDED_BEHIND_REFUSAL;
        }
        return writeFailed ? Outcome.RESET : seen;
    }

    private void recordAllPending(Outcome outcome) {
        ended = true;
        pendingRequests.forEach(request -> record(request, outcome));
        pendingRequests.clear();
    }

    private void record(PendingRequest request, Outcome outcome) {
        records.add(new RequestRecord(
                request.id(),
                router,
                kind,
                socket.getLocalPort(),
                request.at(),
                timeoutSeconds,
                outcome,
                HistoryRecorder.now()));
    }

    private Outcome readAnswer(double endsAt) throws IOException {
        Outcome outcome = Outcome.FAILED;
        while (true) {
            double secondsLeft = endsAt - HistoryRecorder.now();
            socket.setSoTimeout(Math.max(1, (int) (secondsLeft * MILLIS_PER_SECOND)));
            char type = (char) in.readByte();
            byte[] body = new byte[in.readInt() - LENGTH_BYTES];
            in.readFully(body);
            if (type == 'D') {
                outcome = Outcome.SERVED;
            } else if (type == 'E') {
                outcome = REJECTION_CODES.contains(field(body, 'C')) ? Outcome.REFUSED : Outcome.FAILED;
                if ("FATAL".equals(field(body, 'S'))) {
                    rejectedFatally = true;
                    return outcome;
                }
            } else if (type == 'Z' && startUpPending) {
                startUpPending = false;
            } else if (type == 'Z') {
                return outcome;
            }
        }
    }

    private static String field(byte[] error, char name) {
        for (String field : new String(error, UTF_8).split("\0")) {
            if (!field.isEmpty() && field.charAt(0) == name) {
                return field.substring(1);
            }
        }
        return "";
    }

    /**
     * Reads until the connection ends, or no answer arrives for that number of seconds; returns whether it has ended.
     */
    boolean awaitEnd(double seconds) {
        try {
            while (true) {
                readAnswer(HistoryRecorder.now() + seconds);
                if (rejectedFatally) {
                    return true;
                }
            }
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Records of the requests so far, in the order of their answers. */
    List<RequestRecord> records() {
        return records;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
