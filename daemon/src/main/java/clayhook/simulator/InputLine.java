package clayhook.simulator;

/**
 * One line from the simulator, read field by field. Fields are separated by single spaces; {@code -} marks an absent
 * value. Every method that reads a field takes the name of the field for its error message. Not thread-safe.
 */
final class InputLine {
    private static final String ABSENT = "-";
    /** The number of characters of a line that an error message quotes. */
    private static final int MAX_QUOTED_LENGTH = 120;

    private final int lineNumber;
    private final String text;
    /** The index of the first character of the next field. */
    private int position;

    InputLine(int lineNumber, String text) {
        this.lineNumber = lineNumber;
        this.text = text;
    }

    /** Returns the next field, or null if its value is absent. */
    String nextOrNull(String name) throws SimulatorProtocolException {
        if (position > text.length()) {
            throw error("lacks its " + name);
        }
        int space = text.indexOf(' ', position);
        int end = space < 0 ? text.length() : space;
        String field = text.substring(position, end);
        position = end + 1;
        return field.equals(ABSENT) ? null : field;
    }

    /** Returns the next field, whose value must be present. */
    String nextText(String name) throws SimulatorProtocolException {
        String field = nextOrNull(name);
        if (field == null || field.isEmpty()) {
            throw error("lacks its " + name);
        }
        return field;
    }

    /** Returns the next field as an integer; its value must be present. */
    long nextLong(String name) throws SimulatorProtocolException {
        String field = nextText(name);
        try {
            return Long.parseLong(field);
        } catch (NumberFormatException e) {
            throw error("has '" + field + "' for its " + name + ", not a whole number");
        }
    }

    /** Returns the next field as an integer, or the default if its value is absent. */
    long nextLong(String name, long defaultValue) throws SimulatorProtocolException {
        int start = position;
        if (nextOrNull(name) == null) {
            return defaultValue;
        }
        position = start;
        return nextLong(name);
    }

    /** Returns the next field as a number, or the default if its value is absent. */
    double nextDouble(String name, double defaultValue) throws SimulatorProtocolException {
        String field = nextOrNull(name);
        if (field == null) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(field);
        } catch (NumberFormatException e) {
            throw error("has '" + field + "' for its " + name + ", not a number");
        }
    }

    /** Returns the unread rest of the line. */
    String remainder() {
        return position > text.length() ? "" : text.substring(position);
    }

    /** Creates an exception whose message names this line, states the reason and quotes the line. */
    SimulatorProtocolException error(String reason) {
        String quoted = text.length() > MAX_QUOTED_LENGTH ? text.substring(0, MAX_QUOTED_LENGTH) + "..." : text;
        return new SimulatorProtocolException("line " + lineNumber + " " + reason + ": " + quoted);
    }
}
