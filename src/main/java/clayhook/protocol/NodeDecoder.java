package clayhook.protocol;

import io.netty.buffer.ByteBuf;

/** Decodes what a node sends. */
public final class NodeDecoder extends FrameDecoder {
    @Override
    boolean typed() {
        return true;
    }

    @Override
    int longestUntyped() {
        return 0;
    }

    @Override
    Object malformed(String why) {
        return new NodeMessage.Malformed(why);
    }

    @Override
    Object message(char type, ByteBuf body) {
        return switch (type) {
            case 'R' -> body.readInt() == 0 ? new NodeMessage.AuthenticationOk() : malformed("asks for a password");
            case 'S' -> new NodeMessage.ParameterStatus(text(body), text(body));
            case 'T', 'D', 'C' -> new NodeMessage.Part(type, whole(body));
            case 'E' -> error(body);
            case 'Z' -> new NodeMessage.ReadyForQuery();
            case 'K', 'N', 'I' -> new NodeMessage.Ignored();
            default -> malformed("an unknown message of type " + (int) type);
        };
    }

    private static byte[] whole(ByteBuf body) {
        byte[] message = new byte[body.writerIndex()];
        body.getBytes(0, message);
        return message;
    }

    private static NodeMessage error(ByteBuf body) {
        String code = "";
        String text = "";
        for (byte field = body.readByte(); field != 0; field = body.readByte()) {
            String value = text(body);
            code = field == 'C' ? value : code;
            text = field == 'M' ? value : text;
        }
        return new NodeMessage.ErrorResponse(code, text);
    }
}
