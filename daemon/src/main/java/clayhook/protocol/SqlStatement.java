package clayhook.protocol;

import java.util.Map;

/** A statement of any kind, that goes on as the client wrote it. */
public record SqlStatement(byte[] text, Map<String, String> settings, boolean mayChangeSession)
        implements OutboundStatement {
    @Override
    public byte[] textWithTimeout(double seconds) {
        return text;
    }

    @Override
    public boolean hasFreeFormResult() {
        return true;
    }
}
