package clayhook.fleet;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Reads a list of fields as {@link Writer} wrote it. Whatever does not fit throws IllegalArgumentException, which stops
 * where packets are taken apart. Fields that a later release has added are left unread.
 */
public final class Reader {
    /** Of one text; names and keys are far shorter. */
    private static final int LONGEST_TEXT = 4096;

    private final CBORParser in;

    public Reader(byte[] bytes) {
        this(bytes, 0, bytes.length);
    }

    public Reader(byte[] bytes, int from, int length) {
        try {
            in = Writer.CBOR.createParser(bytes, from, length);
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        begin();
    }

    private JsonToken next() {
        try {
            JsonToken token = in.nextToken();
            if (token == null) {
                throw new IllegalArgumentException("the bytes end too soon");
            }
            return token;
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private void expect(boolean fits, String what) {
        if (!fits) {
            throw new IllegalArgumentException("no " + what + " where one belongs");
        }
    }

    /** Goes into a list within the list. */
    public void begin() {
        expect(next() == JsonToken.START_ARRAY, "list");
    }

    /** Leaves a list, whatever it still holds. */
    public void end() {
        int depth = 1;
        while (depth > 0) {
            switch (next()) {
                case START_ARRAY, START_OBJECT -> depth++;
                case END_ARRAY, END_OBJECT -> depth--;
                default -> {}
            }
        }
    }

    /** The lists within the next field, which is a list of lists; each is read by {@code each} and left by itself. */
    public <T> List<T> lists(int most, Function<Reader, T> each) {
        begin();
        var out = new ArrayList<T>();
        for (JsonToken token = next(); token != JsonToken.END_ARRAY; token = next()) {
            expect(token == JsonToken.START_ARRAY && out.size() < most, "list of at most " + most);
            out.add(each.apply(this));
            end();
        }
        return out;
    }

    /** The numbers in the next field, which is a list of whole numbers. */
    public long[] wholes(int most) {
        begin();
        long[] out = new long[Math.min(most, 16)];
        int size = 0;
        for (JsonToken token = next(); token != JsonToken.END_ARRAY; token = next()) {
            expect(token == JsonToken.VALUE_NUMBER_INT && size < most, "list of at most " + most + " numbers");
            out = size == out.length ? java.util.Arrays.copyOf(out, Math.min(most, 2 * size)) : out;
            out[size++] = longValue();
        }
        return java.util.Arrays.copyOf(out, size);
    }

    private long longValue() {
        try {
            return in.getLongValue();
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** Null is a text too. */
    public String text() {
        JsonToken token = next();
        expect(token == JsonToken.VALUE_STRING || token == JsonToken.VALUE_NULL, "text");
        try {
            String text = in.getText();
            expect(token == JsonToken.VALUE_NULL || text.length() <= LONGEST_TEXT, "short text");
            return token == JsonToken.VALUE_NULL ? null : text;
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** A text that must be there. */
    public String name() {
        String text = text();
        expect(text != null && !text.isEmpty(), "name");
        return text;
    }

    public long whole() {
        expect(next() == JsonToken.VALUE_NUMBER_INT, "whole number");
        return longValue();
    }

    /** A whole number from 0 on, below {@code end}. */
    public int small(int end) {
        long value = whole();
        expect(value >= 0 && value < end, "number below " + end);
        return (int) value;
    }

    /** Never NaN; infinite only where the writer meant it. */
    public double number() {
        JsonToken token = next();
        expect(token == JsonToken.VALUE_NUMBER_FLOAT || token == JsonToken.VALUE_NUMBER_INT, "number");
        try {
            double value = in.getDoubleValue();
            expect(!Double.isNaN(value), "number");
            return value;
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    public boolean flag() {
        JsonToken token = next();
        expect(token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE, "true or false");
        return token == JsonToken.VALUE_TRUE;
    }

    public byte[] bytes() {
        expect(next() == JsonToken.VALUE_EMBEDDED_OBJECT, "bytes");
        try {
            return in.getBinaryValue();
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }
}
