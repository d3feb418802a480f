package clayhook.protocol;

import java.util.Map;

/**
 * Any SQL statement, forwarded without changes.
 *
 * @param text the bytes received from the client, without the terminating zero
 * @param settings the settings of the client's session: names and values as SQL text
 * @param mayChangeSession whether the statement may change the session state of its node connection
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
