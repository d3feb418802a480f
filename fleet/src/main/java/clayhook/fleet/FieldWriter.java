package clayhook.fleet;

import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Encodes a list of fields as a CBOR array, which {@link FieldReader} decodes. An instance encodes one list. Not
 * thread-safe.
 */
public final class FieldWriter {
    static final CBORFactory CBOR = new CBORFactory();
    private static final int INITIAL_BUFFER_BYTES = 256;

    private interface GeneratorCall {
        void run(CBORGenerator generator) throws IOException;
    }

    private final ByteArrayBuilder buffer = new ByteArrayBuilder(INITIAL_BUFFER_BYTES);
    private final CBORGenerator generator;

    /** Creates a writer and begins the list of fields. */
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
            throw new UncheckedIOException(e); // cannot happen, since the buffer is in memory
        }
    }

    /** Begins a nested list as the next field. */
    public FieldWriter beginList() {
        return write(CBORGenerator::writeStartArray);
    }

    /** Ends the innermost open list. */
    public FieldWriter endList() {
        return write(CBORGenerator::writeEndArray);
    }

    /** Writes a string or null. */
    public FieldWriter writeNullableString(String value) {
        return write(cbor -> cbor.writeString(value));
    }

    /** Writes an integer in the smallest CBOR encoding that holds it. */
    public FieldWriter writeLong(long value) {
        return write(cbor -> cbor.writeNumber(value));
    }

    /** Writes a double in eight bytes. {@link FieldReader} rejects NaN. */
    public FieldWriter writeDouble(double value) {
        return write(cbor -> cbor.writeNumber(value));
    }

    /** Writes a boolean. */
    public FieldWriter writeBoolean(boolean value) {
        return write(cbor -> cbor.writeBoolean(value));
    }

    /** Writes a byte string. */
    public FieldWriter writeBytes(byte[] value) {
        return write(cbor -> cbor.writeBinary(value));
    }

    /** Ends the list of fields and returns its encoding. No field can be written afterwards. */
    public byte[] toByteArray() {
        endList();
        write(CBORGenerator::close);
        return buffer.toByteArray();
    }
}
