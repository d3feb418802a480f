package clayhook.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Speaks the simulator's wire for many routers: decodes its lines into calls, encodes what comes back. */
public final class SimulatorAdapter {
    private static final int MAX_LISTS = 16;
    private final BufferedReader in;
    private final PrintWriter out;
    private final Map<Long, SimulatedRouter> routers = new LinkedHashMap<>();
    /** What the instances of the batch in hand have to say, in the order in which they first spoke. */
    private final Map<Long, StringBuilder> replies = new LinkedHashMap<>();

    private final List<List<SimulatedEndpoint>> endpointLists = new ArrayList<>();
    private int lineNumber;

    public SimulatorAdapter(BufferedReader in, PrintWriter out) {
        this.in = in;
        this.out = out;
        for (int i = 0; i < MAX_LISTS; i++) {
            endpointLists.add(List.of());
        }
    }

    /** Answers batch after batch until the input ends. */
    public void run() throws SimulatorProtocolException, IOException {
        for (InputLine line = nextLine(); line != null; line = nextLine()) {
            String word = line.nextText("word");
            if (!word.equals("BATCH")) {
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
        long who = -1;
        for (InputLine line = requireLine(); ; line = requireLine()) {
            String word = line.nextText("word");
            if (word.equals("GO")) {
                break;
            } else if (word.equals("SWITCH_TO")) {
                who = line.nextLong("who");
                replies.computeIfAbsent(who, any -> new StringBuilder());
            } else if (word.equals("POOL")) {
                readEndpointList(line);
            } else if (who < 0) {
                throw line.error("speaks to no instance");
            } else {
                onEvent(who, word, line, now);
            }
        }
        for (var reply : replies.entrySet()) {
            SimulatedRouter instance = routers.get(reply.getKey());
            if (instance != null) {
                runGuarded(reply.getKey(), () -> instance.tick(now, reply.getValue()));
            }
            if (reply.getValue().length() > 0) {
                out.append("SOURCE ")
                        .append(Long.toString(reply.getKey()))
                        .append('\n')
                        .append(reply.getValue());
            }
        }
    }

    private void onEvent(long who, String word, InputLine line, long now) throws SimulatorProtocolException {
        StringBuilder reply = replies.get(who);
        if (word.equals("CONFIGURE")) {
            runGuarded(who, () -> routers.put(who, new SimulatedRouter(line)));
            return;
        }
        if (word.equals("DOWN")) {
            routers.remove(who);
            reply.setLength(0);
            return;
        }
        SimulatedRouter instance = routers.get(who);
        if (instance == null) {
            throw line.error("speaks to an instance that was not configured");
        }
        runGuarded(who, () -> {
            switch (word) {
                case "ARRIVAL" -> instance.onArrival(line, now);
                case "RESPONSE" -> instance.onAttemptFinished(line, now);
                case "HEALTH" -> instance.onHealthCheck(line, now);
                case "GONE" -> instance.onClientGone(line.nextText("id"));
                case "DISCOVERY" -> onDiscovery(instance, line, now);
                case "DUE" -> line.nextText("tag");
                case "FIRST", "PEER_DATA" -> {}
                default -> throw line.error("has an unknown word");
            }
        });
    }

    private void onDiscovery(SimulatedRouter instance, InputLine line, long now) throws SimulatorProtocolException {
        int scope = (int) line.nextLong("scope");
        line.nextLong("stamp");
        long buffer = line.nextLong("buffer", 0);
        if (scope < 0 || scope > 3 || buffer < 0 || buffer >= MAX_LISTS) {
            throw line.error("has an unknown scope or list number");
        }
        instance.onDiscovery(line, scope, endpointLists.get((int) buffer), now);
    }

    private void readEndpointList(InputLine line) throws SimulatorProtocolException, IOException {
        long buffer = line.nextLong("buffer");
        long count = line.nextLong("items");
        if (buffer < 0 || buffer >= MAX_LISTS) {
            throw line.error("has an unknown list number");
        }
        var rows = new ArrayList<SimulatedEndpoint>();
        for (long i = 0; i < count; i++) {
            InputLine entry = requireLine();
            if (!entry.nextText("word").equals("ROW")) {
                throw entry.error("stands where a ROW should");
            }
            rows.add(SimulatedEndpoint.parse(entry));
        }
        endpointLists.set((int) buffer, rows);
    }

    private interface RouterTask {
        void run() throws SimulatorProtocolException;
    }

    /** An exception of the decision code ends the day with its text instead of ending the process. */
    private void runGuarded(long who, RouterTask work) throws SimulatorProtocolException {
        try {
            work.run();
        } catch (RuntimeException e) {
            StackTraceElement at = e.getStackTrace().length > 0 ? e.getStackTrace()[0] : null;
            String text = (e + " at " + at).replace('\n', ' ');
            System.err.println("clayhook: " + text);
            replies.get(who).append("GIVE_IN ").append(text).append('\n');
        }
    }

    private InputLine requireLine() throws SimulatorProtocolException, IOException {
        InputLine line = nextLine();
        if (line == null) {
            throw new SimulatorProtocolException("the input ends within a batch, after line " + lineNumber);
        }
        return line;
    }

    /** The next line with anything on it, or null at the end. */
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
