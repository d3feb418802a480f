package clayhook.protocol;

import java.util.Map;

/**
 * A statement of any kind, which is forwarded as the client wrote it.
 *
 * @param text the bytes of the client, without the closing zero
 * @param settings the settings of the client's session: names, and values as SQL text
 * @param mayChangeSession whether it may change the session of the node that runs it
 */
@SuppressWarnings("ArrayRecordComponent") // raw bytes, which are forwarded and never compared
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
