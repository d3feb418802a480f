package clayhook.fleet;

import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Encodes a list of fields as a CBOR array; {@link FieldReader} decodes it. Not thread-safe, for one use. */
public final class FieldWriter {
    static final CBORFactory CBOR = new CBORFactory();
    private static final int INITIAL_BUFFER_BYTES = 256;

    private interface GeneratorCall {
        void run(CBORGenerator generator) throws IOException;
    }

    private final ByteArrayBuilder buffer = new ByteArrayBuilder(INITIAL_BUFFER_BYTES);
    private final CBORGenerator generator;

    /** Begins the list of fields. */
    public FieldWriter() {
        try {
            generator = CBOR.createGenerator(buffer);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        beginList();
    }

    private FieldWriter write(GeneratorCall call) {
        try {
            call.run(generator);
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException(e); // cannot happen: the buffer is in memory
        }
    }

    /** Begins a nested list as the next field. */
    public FieldWriter beginList() {
        return write(CBORGenerator::writeStartArray);
    }

    /** Ends the nested list that was begun last. */
    public FieldWriter endList() {
        return write(CBORGenerator::writeEndArray);
    }

    /** Writes a string or null. */
    public FieldWriter writeNullableString(String value) {
        return write(to -> to.writeString(value));
    }

    /** Writes an integer in the fewest bytes that hold it. */
    public FieldWriter writeLong(long value) {
        return write(to -> to.writeNumber(value));
    }

    /** Writes a double in eight bytes. A reader does not accept NaN. */
    public FieldWriter writeDouble(double value) {
        return write(to -> to.writeNumber(value));
    }

    /** Writes a boolean. */
    public FieldWriter writeBoolean(boolean value) {
        return write(to -> to.writeBoolean(value));
    }

    /** Writes a byte string. */
    public FieldWriter writeBytes(byte[] value) {
        return write(to -> to.writeBinary(value));
    }

    /** Ends the list of fields and returns its bytes; nothing can be written after. */
    public byte[] toByteArray() {
        endList();
        write(CBORGenerator::close);
        return buffer.toByteArray();
    }
}
