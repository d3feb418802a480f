package clayhook.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Connects any number of routers to the simulator over its line protocol: decodes each line into a call of a
 * {@link SimulatedRouter} and writes the decisions of the routers. All times are those of the simulator's clock. Not
 * thread-safe; reads and writes block.
 *
 * <p>The input is a sequence of batches. A batch consists of a BATCH line with the clock time and the batch number,
 * lines for the routers that SWITCH_TO lines select, and a GO line. The reply to a batch consists of the decisions of
 * each router and a NEXT line.
 */
public final class SimulatorAdapter {
    /** The number of endpoint lists that POOL lines can set; the lists are numbered from 0. */
    private static final int MAX_LISTS = 16;

    private static final long NO_ROUTER = -1;

    /** The scope of a DISCOVERY line with changes. The scopes 1 and 2 are two kinds of complete list. */
    private static final int CHANGES_SCOPE = 0;

    /** The scope of a DISCOVERY line that reports a failed poll. */
    private static final int FAILED_SCOPE = 3;

    private final BufferedReader in;
    private final PrintWriter out;
    private final Map<Long, SimulatedRouter> routers = new LinkedHashMap<>();
    /** Replies of the routers in the current batch by router id, in the order in which the batch first names them. */
    private final Map<Long, StringBuilder> replies = new LinkedHashMap<>();

    private final List<List<SimulatedEndpoint>> endpointLists = new ArrayList<>();
    private int lineNumber;

    /** Creates an adapter that reads from {@code in} and writes to {@code out}; the caller closes both. */
    public SimulatorAdapter(BufferedReader in, PrintWriter out) {
        this.in = in;
        this.out = out;
        for (int i = 0; i < MAX_LISTS; i++) {
            endpointLists.add(List.of());
        }
    }

    /**
     * Replies to batches until the input ends.
     *
     * @throws SimulatorProtocolException for the first line that is malformed
     */
    public void run() throws SimulatorProtocolException, IOException {
        for (InputLine line = nextLine(); line != null; line = nextLine()) {
            if (!line.nextText("word").equals("BATCH")) {
                throw line.error("stands where a BATCH should");
            }
            long now = line.nextLong("clock");
            long number = line.nextLong("number");
            handleBatch(now);
            out.append("NEXT ").append(Long.toString(number)).append('\n').flush();
        }
    }

    private void handleBatch(long now) throws SimulatorProtocolException, IOException {
        replies.clear();
        readBatch(now);
        for (var reply : replies.entrySet()) {
            SimulatedRouter router = routers.get(reply.getKey());
            if (router != null) {
                runGuarded(reply.getKey(), () -> router.tick(now, reply.getValue()));
            }
            if (reply.getValue().length() > 0) {
                out.append("SOURCE ")
                        .append(Long.toString(reply.getKey()))
                        .append('\n')
                        .append(reply.getValue());
            }
        }
    }

    private void readBatch(long now) throws SimulatorProtocolException, IOException {
        long routerId = NO_ROUTER;
        for (InputLine line = requireLine(); ; line = requireLine()) {
            String word = line.nextText("word");
            switch (word) {
                case "GO" -> {
                    return;
                }
                case "SWITCH_TO" -> {
                    routerId = line.nextLong("who");
                    replies.computeIfAbsent(routerId, any -> new StringBuilder());
                }
                case "POOL" -> readEndpointList(line);
                default -> {
                    if (routerId < 0) {
                        throw line.error("speaks to no instance");
                    }
                    handleEvent(routerId, word, line, now);
                }
            }
        }
    }

    private void handleEvent(long routerId, String word, InputLine line, long now) throws SimulatorProtocolException {
        switch (word) {
            case "CONFIGURE" -> runGuarded(routerId, () -> routers.put(routerId, new SimulatedRouter(line)));
            case "DOWN" -> {
                routers.remove(routerId);
                replies.get(routerId).setLength(0);
            }
            default -> {
                SimulatedRouter router = routers.get(routerId);
                if (router == null) {
                    throw line.error("speaks to an instance that was not configured");
                }
                runGuarded(routerId, () -> handleRouterEvent(router, word, line, now));
            }
        }
    }

    private void handleRouterEvent(SimulatedRouter router, String word, InputLine line, long now)
            throws SimulatorProtocolException {
        switch (word) {
            case "ARRIVAL" -> router.onArrival(line, now);
            case "RESPONSE" -> router.onAttemptFinished(line, now);
            case "HEALTH" -> router.onHealthCheck(line, now);
            case "GONE" -> router.onClientGone(line.nextText("id"));
            case "DISCOVERY" -> handleDiscovery(router, line, now);
            case "DUE" -> line.nextText("tag"); // a timer; each router that a batch names is ticked at its end anyway
            case "FIRST", "PEER_DATA" -> {}
            default -> throw line.error("has an unknown word");
        }
    }

    private void handleDiscovery(SimulatedRouter router, InputLine line, long now) throws SimulatorProtocolException {
        int scope = (int) line.nextLong("scope");
        line.nextLong("stamp");
        long list = line.nextLong("buffer", 0);
        if (scope < CHANGES_SCOPE || scope > FAILED_SCOPE || !isListNumber(list)) {
            throw line.error("has an unknown scope or list number");
        }
        if (scope == FAILED_SCOPE) {
            router.onEndpointListFailed(now);
        } else {
            router.onEndpointList(endpointLists.get((int) list), scope != CHANGES_SCOPE, now);
        }
    }

    private void readEndpointList(InputLine line) throws SimulatorProtocolException, IOException {
        long list = line.nextLong("buffer");
        long count = line.nextLong("items");
        if (!isListNumber(list)) {
            throw line.error("has an unknown list number");
        }
        var endpoints = new ArrayList<SimulatedEndpoint>();
        for (long i = 0; i < count; i++) {
            InputLine entry = requireLine();
            if (!entry.nextText("word").equals("ROW")) {
                throw entry.error("stands where a ROW should");
            }
            endpoints.add(SimulatedEndpoint.parse(entry));
        }
        endpointLists.set((int) list, endpoints);
    }

    private static boolean isListNumber(long number) {
        return number >= 0 && number < MAX_LISTS;
    }

    private interface RouterTask {
        void run() throws SimulatorProtocolException;
    }

    /**
     * Runs a task of one router. If it throws a runtime exception, the exception is written to standard error and sent
     * to the simulator, which ends this router's run; the process continues.
     */
    private void runGuarded(long routerId, RouterTask task) throws SimulatorProtocolException {
        try {
            task.run();
        } catch (RuntimeException e) {
            StackTraceElement thrownAt = e.getStackTrace().length > 0 ? e.getStackTrace()[0] : null;
            String text = (e + " at " + thrownAt).replace('\n', ' ');
            System.err.println("clayhook: " + text);
            replies.get(routerId).append("GIVE_IN ").append(text).append('\n');
        }
    }

    private InputLine requireLine() throws SimulatorProtocolException, IOException {
        InputLine line = nextLine();
        if (line == null) {
            throw new SimulatorProtocolException("the input ends within a batch, after line " + lineNumber);
        }
        return line;
    }

    /** Returns the next non-empty line, or null at the end of the input. */
    private InputLine nextLine() throws IOException {
        String text = in.readLine();
        lineNumber++;
        while (text != null && text.isEmpty()) {
            text = in.readLine();
            lineNumber++;
        }
        return text == null ? null : new InputLine(lineNumber, text);
    }
}
