package clayhook.fleet;

import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes a list of fields as CBOR. */
public final class FieldWriter {
    static final CBORFactory CBOR = new CBORFactory();

    private interface GeneratorCall {
        void run(CBORGenerator out) throws IOException;
    }

    private final ByteArrayBuilder buffer = new ByteArrayBuilder(256);
    private final CBORGenerator generator;

    public FieldWriter() {
        try {
            generator = CBOR.createGenerator(buffer);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        beginList();
    }

    private FieldWriter write(GeneratorCall step) {
        try {
            step.run(generator);
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory does not fail
        }
    }

    /** Begins a list within the list. */
    public FieldWriter beginList() {
        return write(CBORGenerator::writeStartArray);
    }

    public FieldWriter endList() {
        return write(CBORGenerator::writeEndArray);
    }

    /** Null is a text too. */
    public FieldWriter writeNullableString(String value) {
        return write(to -> to.writeString(value));
    }

    public FieldWriter writeLong(long value) {
        return write(to -> to.writeNumber(value));
    }

    public FieldWriter writeDouble(double value) {
        return write(to -> to.writeNumber(value));
    }

    public FieldWriter writeBoolean(boolean value) {
        return write(to -> to.writeBoolean(value));
    }

    public FieldWriter writeBytes(byte[] value) {
        return write(to -> to.writeBinary(value));
    }

    /** All that was written; nothing can be written after. */
    public byte[] toByteArray() {
        endList();
        write(CBORGenerator::close);
        return buffer.toByteArray();
    }
}
