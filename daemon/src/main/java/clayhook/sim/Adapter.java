package clayhook.sim;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Speaks the simulator's wire for many routers: decodes its lines into calls, encodes what comes back. */
public final class Adapter {
    private static final int LISTS = 16;
    private final BufferedReader in;
    private final PrintWriter out;
    private final Map<Long, Instance> instances = new LinkedHashMap<>();
    /** What the instances of the batch in hand have to say, in the order in which they first spoke. */
    private final Map<Long, StringBuilder> replies = new LinkedHashMap<>();

    private final List<List<Row>> lists = new ArrayList<>();
    private int lineNumber;

    public Adapter(BufferedReader in, PrintWriter out) {
        this.in = in;
        this.out = out;
        for (int i = 0; i < LISTS; i++) {
            lists.add(List.of());
        }
    }

    /** Answers batch after batch until the input ends. */
    public void run() throws BadInput, IOException {
        for (Line line = next(); line != null; line = next()) {
            String word = line.text("word");
            if (!word.equals("BATCH")) {
                throw line.bad("stands where a BATCH should");
            }
            long now = line.whole("clock");
            long number = line.whole("number");
            batch(now);
            out.append("NEXT ").append(Long.toString(number)).append('\n').flush();
        }
    }

    private void batch(long now) throws BadInput, IOException {
        replies.clear();
        long who = -1;
        for (Line line = needed(); ; line = needed()) {
            String word = line.text("word");
            if (word.equals("GO")) {
                break;
            } else if (word.equals("SWITCH_TO")) {
                who = line.whole("who");
                replies.computeIfAbsent(who, any -> new StringBuilder());
            } else if (word.equals("POOL")) {
                pool(line);
            } else if (who < 0) {
                throw line.bad("speaks to no instance");
            } else {
                event(who, word, line, now);
            }
        }
        for (var reply : replies.entrySet()) {
            Instance instance = instances.get(reply.getKey());
            if (instance != null) {
                guarded(reply.getKey(), () -> instance.settle(now, reply.getValue()));
            }
            if (reply.getValue().length() > 0) {
                out.append("SOURCE ")
                        .append(Long.toString(reply.getKey()))
                        .append('\n')
                        .append(reply.getValue());
            }
        }
    }

    private void event(long who, String word, Line line, long now) throws BadInput {
        StringBuilder reply = replies.get(who);
        if (word.equals("CONFIGURE")) {
            guarded(who, () -> instances.put(who, new Instance(line)));
            return;
        }
        if (word.equals("DOWN")) {
            instances.remove(who);
            reply.setLength(0);
            return;
        }
        Instance instance = instances.get(who);
        if (instance == null) {
            throw line.bad("speaks to an instance that was not configured");
        }
        guarded(who, () -> {
            switch (word) {
                case "ARRIVAL" -> instance.arrival(line, now);
                case "RESPONSE" -> instance.response(line, now);
                case "HEALTH" -> instance.health(line, now);
                case "GONE" -> instance.gone(line.text("id"));
                case "DISCOVERY" -> discovery(instance, line, now);
                case "DUE" -> line.text("tag");
                case "FIRST", "PEER_DATA" -> {}
                default -> throw line.bad("has an unknown word");
            }
        });
    }

    private void discovery(Instance instance, Line line, long now) throws BadInput {
        int scope = (int) line.whole("scope");
        line.whole("stamp");
        long buffer = line.whole("buffer", 0);
        if (scope < 0 || scope > 3 || buffer < 0 || buffer >= LISTS) {
            throw line.bad("has an unknown scope or list number");
        }
        instance.discovery(line, scope, lists.get((int) buffer), now);
    }

    private void pool(Line line) throws BadInput, IOException {
        long buffer = line.whole("buffer");
        long count = line.whole("items");
        if (buffer < 0 || buffer >= LISTS) {
            throw line.bad("has an unknown list number");
        }
        var rows = new ArrayList<Row>();
        for (long i = 0; i < count; i++) {
            Line entry = needed();
            if (!entry.text("word").equals("ROW")) {
                throw entry.bad("stands where a ROW should");
            }
            rows.add(Row.parse(entry));
        }
        lists.set((int) buffer, rows);
    }

    private interface Work {
        void run() throws BadInput;
    }

    /** An exception of the decision code ends the day with its text instead of ending the process. */
    private void guarded(long who, Work work) throws BadInput {
        try {
            work.run();
        } catch (RuntimeException e) {
            StackTraceElement at = e.getStackTrace().length > 0 ? e.getStackTrace()[0] : null;
            String text = (e + " at " + at).replace('\n', ' ');
            System.err.println("clayhook: " + text);
            replies.get(who).append("GIVE_IN ").append(text).append('\n');
        }
    }

    private Line needed() throws BadInput, IOException {
        Line line = next();
        if (line == null) {
            throw new BadInput("the input ends within a batch, after line " + lineNumber);
        }
        return line;
    }

    /** The next line with anything on it, or null at the end. */
    private Line next() throws IOException {
        String text = in.readLine();
        lineNumber++;
        while (text != null && text.isEmpty()) {
            text = in.readLine();
            lineNumber++;
        }
        return text == null ? null : new Line(lineNumber, text);
    }
}
