package clayhook.scattergather;

import java.time.LocalDate;
import java.time.YearMonth;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses dates and timestamps in PostgreSQL's default date style, ISO. */
final class TimestampParser {
    /** Year, month, day; hour, minute, second, fraction; zone offset in hours, minutes, seconds; BC. */
    private static final Pattern ISO =
            Pattern.compile("(\\d{4,6})-(\\d\\d)-(\\d\\d)(?: (\\d\\d):(\\d\\d):(\\d\\d)(?:\\.(\\d{1,6}))?"
                    + "(?:([+-])(\\d\\d)(?::(\\d\\d))?(?::(\\d\\d))?)?)?( BC)?");

    private static final long MICROS = 1_000_000;
    private static final long DAY = 86_400;

    private TimestampParser() {}

    /** Parses a date or timestamp; returns null if the text is invalid. */
    static ColumnValue read(String text) {
        if (text.equals("infinity") || text.equals("-infinity")) {
            return new ColumnValue.TimestampValue(text.charAt(0) == '-' ? Long.MIN_VALUE : Long.MAX_VALUE);
        }
        Matcher fields = ISO.matcher(text);
        if (!fields.matches()) {
            return null;
        }
        int year = fields.group(12) == null ? number(fields, 1) : 1 - number(fields, 1); // PostgreSQL has no year 0
        int month = number(fields, 2);
        int day = number(fields, 3);
        int seconds = number(fields, 4) * 3600 + number(fields, 5) * 60 + number(fields, 6);
        int zone = (number(fields, 9) * 3600 + number(fields, 10) * 60 + number(fields, 11))
                * ("-".equals(fields.group(8)) ? -1 : 1);
        if (month < 1
                || month > 12
                || day < 1
                || day > YearMonth.of(year, month).lengthOfMonth()
                || seconds > DAY
                || number(fields, 5) > 59
                || number(fields, 6) > 59) {
            return null;
        }
        String fraction = fields.group(7) == null ? "" : fields.group(7);
        long micros = Integer.parseInt((fraction + "000000").substring(0, 6));
        // up to six digits of a year give 3e19 microseconds, which overflows a long;
        // PostgreSQL's own maximum, the year 294276, does not
        long since = LocalDate.of(year, month, day).toEpochDay() * DAY + seconds - zone;
        return Math.abs(since) < Long.MAX_VALUE / MICROS - 1
                ? new ColumnValue.TimestampValue(since * MICROS + micros)
                : null;
    }

    private static int number(Matcher fields, int group) {
        return fields.group(group) == null ? 0 : Integer.parseInt(fields.group(group));
    }
}
