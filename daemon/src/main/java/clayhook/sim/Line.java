package clayhook.sim;

/** One line of the wire, read part by part. */
final class Line {
    private final int number;
    private final String text;
    private int from;

    Line(int number, String text) {
        this.number = number;
        this.text = text;
    }

    /** The next part; absent values are null. */
    String maybe(String what) throws BadInput {
        if (from > text.length()) {
            throw bad("lacks its " + what);
        }
        int space = text.indexOf(' ', from);
        int end = space < 0 ? text.length() : space;
        String part = text.substring(from, end);
        from = end + 1;
        return part.equals("-") ? null : part;
    }

    String text(String what) throws BadInput {
        String part = maybe(what);
        if (part == null || part.isEmpty()) {
            throw bad("lacks its " + what);
        }
        return part;
    }

    long whole(String what) throws BadInput {
        String part = text(what);
        try {
            return Long.parseLong(part);
        } catch (NumberFormatException e) {
            throw bad("has '" + part + "' for its " + what + ", not a whole number");
        }
    }

    long whole(String what, long absent) throws BadInput {
        int start = from;
        if (maybe(what) == null) {
            return absent;
        }
        from = start;
        return whole(what);
    }

    double number(String what, double absent) throws BadInput {
        String part = maybe(what);
        if (part == null) {
            return absent;
        }
        try {
            return Double.parseDouble(part);
        } catch (NumberFormatException e) {
            throw bad("has '" + part + "' for its " + what + ", not a number");
        }
    }

    /** All that is left of the line. */
    String rest() {
        return from > text.length() ? "" : text.substring(from);
    }

    BadInput bad(String why) {
        String shown = text.length() > 120 ? text.substring(0, 120) + "..." : text;
        return new BadInput("line " + number + " " + why + ": " + shown);
    }
}
