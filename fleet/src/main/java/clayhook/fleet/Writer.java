package clayhook.fleet;

import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Writes a list of fields as CBOR. */
public final class Writer {
    static final CBORFactory CBOR = new CBORFactory();

    private interface Step {
        void run(CBORGenerator out) throws IOException;
    }

    private final ByteArrayBuilder bytes = new ByteArrayBuilder(256);
    private final CBORGenerator out;

    public Writer() {
        try {
            out = CBOR.createGenerator(bytes);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        begin();
    }

    private Writer write(Step step) {
        try {
            step.run(out);
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory does not fail
        }
    }

    /** Begins a list within the list. */
    public Writer begin() {
        return write(CBORGenerator::writeStartArray);
    }

    public Writer end() {
        return write(CBORGenerator::writeEndArray);
    }

    /** Null is a text too. */
    public Writer text(String value) {
        return write(to -> to.writeString(value));
    }

    public Writer whole(long value) {
        return write(to -> to.writeNumber(value));
    }

    public Writer number(double value) {
        return write(to -> to.writeNumber(value));
    }

    public Writer flag(boolean value) {
        return write(to -> to.writeBoolean(value));
    }

    public Writer bytes(byte[] value) {
        return write(to -> to.writeBinary(value));
    }

    /** All that was written; nothing can be written after. */
    public byte[] done() {
        end();
        write(CBORGenerator::close);
        return bytes.toByteArray();
    }
}
