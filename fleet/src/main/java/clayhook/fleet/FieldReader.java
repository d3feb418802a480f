package clayhook.fleet;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Reads a list of fields as {@link FieldWriter} wrote it. Whatever does not fit throws IllegalArgumentException, which
 * stops where packets are taken apart. Fields that a later release has added are left unread.
 */
public final class FieldReader {
    /** Of one text; names and keys are far shorter. */
    private static final int MAX_TEXT_LENGTH = 4096;

    private final CBORParser parser;

    public FieldReader(byte[] bytes) {
        this(bytes, 0, bytes.length);
    }

    public FieldReader(byte[] bytes, int from, int length) {
        try {
            parser = FieldWriter.CBOR.createParser(bytes, from, length);
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        beginList();
    }

    private JsonToken nextToken() {
        try {
            JsonToken token = parser.nextToken();
            if (token == null) {
                throw new IllegalArgumentException("the bytes end too soon");
            }
            return token;
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private void require(boolean fits, String what) {
        if (!fits) {
            throw new IllegalArgumentException("no " + what + " where one belongs");
        }
    }

    /** Goes into a list within the list. */
    public void beginList() {
        require(nextToken() == JsonToken.START_ARRAY, "list");
    }

    /** Leaves a list, whatever it still holds. */
    public void endList() {
        int depth = 1;
        while (depth > 0) {
            switch (nextToken()) {
                case START_ARRAY, START_OBJECT -> depth++;
                case END_ARRAY, END_OBJECT -> depth--;
                default -> {}
            }
        }
    }

    /** The lists within the next field, which is a list of lists; each is read by {@code each} and left by itself. */
    public <T> List<T> readLists(int most, Function<FieldReader, T> each) {
        beginList();
        var out = new ArrayList<T>();
        for (JsonToken token = nextToken(); token != JsonToken.END_ARRAY; token = nextToken()) {
            require(token == JsonToken.START_ARRAY && out.size() < most, "list of at most " + most);
            out.add(each.apply(this));
            endList();
        }
        return out;
    }

    /** The numbers in the next field, which is a list of whole numbers. */
    public long[] readLongs(int most) {
        beginList();
        long[] out = new long[Math.min(most, 16)];
        int size = 0;
        for (JsonToken token = nextToken(); token != JsonToken.END_ARRAY; token = nextToken()) {
            require(token == JsonToken.VALUE_NUMBER_INT && size < most, "list of at most " + most + " numbers");
            out = size == out.length ? java.util.Arrays.copyOf(out, Math.min(most, 2 * size)) : out;
            out[size++] = currentLong();
        }
        return java.util.Arrays.copyOf(out, size);
    }

    private long currentLong() {
        try {
            return parser.getLongValue();
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** Null is a text too. */
    public String readNullableString() {
        JsonToken token = nextToken();
        require(token == JsonToken.VALUE_STRING || token == JsonToken.VALUE_NULL, "text");
        try {
            String text = parser.getText();
            require(token == JsonToken.VALUE_NULL || text.length() <= MAX_TEXT_LENGTH, "short text");
            return token == JsonToken.VALUE_NULL ? null : text;
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    /** A text that must be there. */
    public String readNonEmptyString() {
        String text = readNullableString();
        require(text != null && !text.isEmpty(), "name");
        return text;
    }

    public long readLong() {
        require(nextToken() == JsonToken.VALUE_NUMBER_INT, "whole number");
        return currentLong();
    }

    /** A whole number from 0 on, below {@code end}. */
    public int readIntBelow(int end) {
        long value = readLong();
        require(value >= 0 && value < end, "number below " + end);
        return (int) value;
    }

    /** Never NaN; infinite only where the writer meant it. */
    public double readDouble() {
        JsonToken token = nextToken();
        require(token == JsonToken.VALUE_NUMBER_FLOAT || token == JsonToken.VALUE_NUMBER_INT, "number");
        try {
            double value = parser.getDoubleValue();
            require(!Double.isNaN(value), "number");
            return value;
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    public boolean readBoolean() {
        JsonToken token = nextToken();
        require(token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE, "true or false");
        return token == JsonToken.VALUE_TRUE;
    }

    public byte[] readBytes() {
        require(nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT, "bytes");
        try {
            return parser.getBinaryValue();
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }
}
