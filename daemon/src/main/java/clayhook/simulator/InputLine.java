package clayhook.simulator;

/** One line of the wire, read part by part. */
final class InputLine {
    private final int lineNumber;
    private final String text;
    private int position;

    InputLine(int number, String text) {
        this.lineNumber = number;
        this.text = text;
    }

    /** The next part; absent values are null. */
    String nextOrNull(String what) throws SimulatorProtocolException {
        if (position > text.length()) {
            throw error("lacks its " + what);
        }
        int space = text.indexOf(' ', position);
        int end = space < 0 ? text.length() : space;
        String part = text.substring(position, end);
        position = end + 1;
        return part.equals("-") ? null : part;
    }

    String nextText(String what) throws SimulatorProtocolException {
        String part = nextOrNull(what);
        if (part == null || part.isEmpty()) {
            throw error("lacks its " + what);
        }
        return part;
    }

    long nextLong(String what) throws SimulatorProtocolException {
        String part = nextText(what);
        try {
            return Long.parseLong(part);
        } catch (NumberFormatException e) {
            throw error("has '" + part + "' for its " + what + ", not a whole number");
        }
    }

    long nextLong(String what, long absent) throws SimulatorProtocolException {
        int start = position;
        if (nextOrNull(what) == null) {
            return absent;
        }
        position = start;
        return nextLong(what);
    }

    double nextDouble(String what, double absent) throws SimulatorProtocolException {
        String part = nextOrNull(what);
        if (part == null) {
            return absent;
        }
        try {
            return Double.parseDouble(part);
        } catch (NumberFormatException e) {
            throw error("has '" + part + "' for its " + what + ", not a number");
        }
    }

    /** All that is left of the line. */
    String remainder() {
        return position > text.length() ? "" : text.substring(position);
    }

    SimulatorProtocolException error(String why) {
        String shown = text.length() > 120 ? text.substring(0, 120) + "..." : text;
        return new SimulatorProtocolException("line " + lineNumber + " " + why + ": " + shown);
    }
}
