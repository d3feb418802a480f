package clayhook.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Lets the simulator drive many routers over its line protocol: decodes its lines into calls of
 * {@link SimulatedRouter}, encodes what these decide. The clock is the simulator's. Not thread-safe; reads and writes
 * block.
 *
 * <p>The input is a sequence of batches: BATCH with a clock time, lines for the routers that SWITCH_TO names, GO. The
 * reply to each is what each router has decided, and NEXT.
 */
public final class SimulatorAdapter {
    /** Numbered endpoint lists that POOL lines fill. */
    private static final int MAX_LISTS = 16;

    private static final long NO_ROUTER = -1;

    /** The scopes of a DISCOVERY line: changes, two kinds of complete list, and a failed poll. */
    private static final int CHANGES_SCOPE = 0;

    private static final int FAILED_SCOPE = 3;

    private final BufferedReader in;
    private final PrintWriter out;
    private final Map<Long, SimulatedRouter> routers = new LinkedHashMap<>();
    /** Replies of the routers in the current batch, in the order in which they were first named. */
    private final Map<Long, StringBuilder> replies = new LinkedHashMap<>();

    private final List<List<SimulatedEndpoint>> endpointLists = new ArrayList<>();
    private int lineNumber;

    /** Reads from and writes to streams that the caller closes. */
    public SimulatorAdapter(BufferedReader in, PrintWriter out) {
        this.in = in;
        this.out = out;
        for (int i = 0; i < MAX_LISTS; i++) {
            endpointLists.add(List.of());
        }
    }

    /**
     * Answers batch after batch until the input ends.
     *
     * @throws SimulatorProtocolException for the first line that cannot be understood
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
                    onEvent(routerId, word, line, now);
                }
            }
        }
    }

    private void onEvent(long routerId, String word, InputLine line, long now) throws SimulatorProtocolException {
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
                runGuarded(routerId, () -> onRouterEvent(router, word, line, now));
            }
        }
    }

    private void onRouterEvent(SimulatedRouter router, String word, InputLine line, long now)
            throws SimulatorProtocolException {
        switch (word) {
            case "ARRIVAL" -> router.onArrival(line, now);
            case "RESPONSE" -> router.onAttemptFinished(line, now);
            case "HEALTH" -> router.onHealthCheck(line, now);
            case "GONE" -> router.onClientGone(line.nextText("id"));
            case "DISCOVERY" -> onDiscovery(router, line, now);
            case "DUE" -> line.nextText("tag"); // a timer: every batch ends with a tick of each router that it names
            case "FIRST", "PEER_DATA" -> {}
            default -> throw line.error("has an unknown word");
        }
    }

    private void onDiscovery(SimulatedRouter router, InputLine line, long now) throws SimulatorProtocolException {
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

    /** An exception of the routing policy ends the router's day with its text instead of ending the process. */
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

    /** The next line that is not empty, or null at the end of the input. */
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
