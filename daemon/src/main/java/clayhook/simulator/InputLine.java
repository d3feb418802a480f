package clayhook.simulator;

/**
 * One line from the simulator, read field by field. Fields are separated by single spaces; an absent value is
 * {@code -}. Each method that reads a field is given its name, which an error message states. Not thread-safe.
 */
final class InputLine {
    private static final String ABSENT = "-";
    /** Characters of a line that an error message shows. */
    private static final int MAX_SHOWN = 120;

    private final int lineNumber;
    private final String text;
    /** Where the next field begins. */
    private int position;

    InputLine(int lineNumber, String text) {
        this.lineNumber = lineNumber;
        this.text = text;
    }

    /** The next field, or null where its value is absent. */
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

    /** The next field, which must not be absent. */
    String nextText(String name) throws SimulatorProtocolException {
        String field = nextOrNull(name);
        if (field == null || field.isEmpty()) {
            throw error("lacks its " + name);
        }
        return field;
    }

    /** The next field as a whole number; it must not be absent. */
    long nextLong(String name) throws SimulatorProtocolException {
        String field = nextText(name);
        try {
            return Long.parseLong(field);
        } catch (NumberFormatException e) {
            throw error("has '" + field + "' for its " + name + ", not a whole number");
        }
    }

    /** The next field as a whole number, or the default where its value is absent. */
    long nextLong(String name, long defaultValue) throws SimulatorProtocolException {
        int start = position;
        if (nextOrNull(name) == null) {
            return defaultValue;
        }
        position = start;
        return nextLong(name);
    }

    /** The next field as a number, or the default where its value is absent. */
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

    /** All fields that have not been read, as text. */
    String remainder() {
        return position > text.length() ? "" : text.substring(position);
    }

    /** An error that names this line. */
    SimulatorProtocolException error(String reason) {
        String shown = text.length() > MAX_SHOWN ? text.substring(0, MAX_SHOWN) + "..." : text;
        return new SimulatorProtocolException("line " + lineNumber + " " + reason + ": " + shown);
    }
}
