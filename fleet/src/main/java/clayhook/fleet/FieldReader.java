package clayhook.fleet;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

/**
 * Decodes a list of fields that {@link FieldWriter} encoded. Each method reads the next field and throws
 * {@link MalformedFieldException} if the field is missing, has another type than expected or exceeds a limit. Callers
 * ignore fields that a later release has added at the end by not reading them. Not thread-safe.
 */
public final class FieldReader {
    /** Maximum length of a string in characters; names and keys are far shorter. */
    private static final int MAX_TEXT_LENGTH = 4096;

    private static final int INITIAL_LIST_CAPACITY = 16;

    private final CBORParser parser;

    /** Creates a reader of the list of fields that is encoded in {@code bytes}. */
    public FieldReader(byte[] bytes) {
        this(bytes, 0, bytes.length);
    }

    /**
     * Creates a reader of the list of fields that starts at index {@code from} and takes up at most {@code length}
     * bytes.
     */
    public FieldReader(byte[] bytes, int from, int length) {
        try {
            parser = FieldWriter.CBOR.createParser(bytes, from, length);
        } catch (IOException e) {
            throw new MalformedFieldException(e);
        }
        beginList();
    }

    private JsonToken nextToken() {
        try {
            JsonToken token = parser.nextToken();
            require(token != null, "more fields");
            return token;
        } catch (IOException e) {
            throw new MalformedFieldException(e);
        }
    }

    private static void require(boolean holds, String expected) {
        if (!holds) {
            throw new MalformedFieldException("expected " + expected);
        }
    }

    /** Enters the nested list that is the next field; {@link #endList()} leaves it. */
    public void beginList() {
        require(nextToken() == JsonToken.START_ARRAY, "a list");
    }

    /** Skips the remaining fields of the current list and leaves it. */
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

    /**
     * Reads a list of at most {@code maxElements} nested lists. {@code readOne} reads the fields of one nested list; it
     * may leave fields at the end unread and does not call {@link #endList()}.
     */
    public <T> List<T> readLists(int maxElements, Function<FieldReader, T> readOne) {
        beginList();
        var elements = new ArrayList<T>();
        for (JsonToken token = nextToken(); token != JsonToken.END_ARRAY; token = nextToken()) {
            require(token == JsonToken.START_ARRAY, "a list of lists");
            require(elements.size() < maxElements, "at most " + maxElements + " lists");
            elements.add(readOne.apply(this));
            endList();
        }
        return elements;
    }

    /** Reads a list of at most {@code maxElements} integers. */
    public long[] readLongs(int maxElements) {
        beginList();
        long[] values = new long[Math.min(maxElements, INITIAL_LIST_CAPACITY)];
        int size = 0;
        for (JsonToken token = nextToken(); token != JsonToken.END_ARRAY; token = nextToken()) {
            require(token == JsonToken.VALUE_NUMBER_INT, "a list of integers");
            require(size < maxElements, "at most " + maxElements + " integers");
            if (size == values.length) {
                values = Arrays.copyOf(values, Math.min(maxElements, 2 * size));
            }
            values[size++] = currentLong();
        }
        return Arrays.copyOf(values, size);
    }

    private long currentLong() {
        try {
            return parser.getLongValue();
        } catch (IOException e) {
            throw new MalformedFieldException(e);
        }
    }

    /** Reads a string or null. */
    public String readNullableString() {
        JsonToken token = nextToken();
        require(token == JsonToken.VALUE_STRING || token == JsonToken.VALUE_NULL, "a string or null");
        if (token == JsonToken.VALUE_NULL) {
            return null;
        }
        try {
            String text = parser.getText();
            require(text.length() <= MAX_TEXT_LENGTH, "at most " + MAX_TEXT_LENGTH + " characters");
            return text;
        } catch (IOException e) {
            throw new MalformedFieldException(e);
        }
    }

    /** Reads a string that is neither null nor empty. */
    public String readNonEmptyString() {
        String text = readNullableString();
        require(text != null && !text.isEmpty(), "a string that is not empty");
        return text;
    }

    /** Reads an integer. */
    public long readLong() {
        require(nextToken() == JsonToken.VALUE_NUMBER_INT, "an integer");
        return currentLong();
    }

    /** Reads an integer from 0 to {@code end}, exclusive. */
    public int readIntBelow(int end) {
        long value = readLong();
        require(value >= 0 && value < end, "an integer from 0 to below " + end);
        return (int) value;
    }

    /** Reads a double or an integer as a double. The result may be infinite, but is never NaN. */
    public double readDouble() {
        JsonToken token = nextToken();
        require(token == JsonToken.VALUE_NUMBER_FLOAT || token == JsonToken.VALUE_NUMBER_INT, "a number");
        try {
            double value = parser.getDoubleValue();
            require(!Double.isNaN(value), "a number other than NaN");
            return value;
        } catch (IOException e) {
            throw new MalformedFieldException(e);
        }
    }

    /** Reads a boolean. */
    public boolean readBoolean() {
        JsonToken token = nextToken();
        require(token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE, "a boolean");
        return token == JsonToken.VALUE_TRUE;
    }

    /** Reads a byte string. */
    public byte[] readBytes() {
        require(nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT, "a byte string");
        try {
            return parser.getBinaryValue();
        } catch (IOException e) {
            throw new MalformedFieldException(e);
        }
    }
}
