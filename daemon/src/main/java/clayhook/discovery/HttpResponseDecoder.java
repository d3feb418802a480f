package clayhook.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * Decodes HTTP/1.1 responses into {@link HttpResponse}. Bodies are delimited by a content length, by chunks or by the
 * end of the connection. Input that cannot be decoded yields one response with the status
 * {@link HttpResponse#MALFORMED}, and all input after it is dropped. Lines and bodies are limited in length. Confined
 * to the event loop.
 */
final class HttpResponseDecoder extends ByteToMessageDecoder {
    /** Enough for ten thousand nodes of about 200 bytes each. */
    private static final int MAX_BODY_BYTES = 2 << 20;

    private static final int MAX_LINE_BYTES = 8192;

    /** Value of {@link #remainingBytes} for a body that extends to the end of the connection. */
    private static final int UNTIL_CLOSE = -1;

    private static final int DECIMAL = 10;
    private static final int HEXADECIMAL = 16;
    private static final int NO_CONTENT = 204;

    private enum ParserState {
        STATUS,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        MALFORMED
    }

    private ParserState state = ParserState.STATUS;
    private int status;
    /** Bytes of the body or chunk that are still to be received, or {@link #UNTIL_CLOSE}. */
    private int remainingBytes;

    private boolean chunked;
    /** Whether the service announced that it closes the connection after this response. */
    private boolean closeAnnounced;

    private final ByteArrayOutputStream bodyBytes = new ByteArrayOutputStream();

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (state == ParserState.MALFORMED) {
            in.skipBytes(in.readableBytes());
        } else if (state == ParserState.BODY || state == ParserState.CHUNK) {
            readBody(in, out);
        } else {
            readLine(in, out);
        }
    }

    private void readLine(ByteBuf in, List<Object> out) {
        int length = in.bytesBefore((byte) '\n');
        boolean incomplete = length < 0;
        if (length > MAX_LINE_BYTES || (incomplete && in.readableBytes() > MAX_LINE_BYTES)) {
            in.skipBytes(in.readableBytes());
            emitMalformed(out);
        } else if (!incomplete) {
            String line = in.readCharSequence(length, StandardCharsets.ISO_8859_1)
                    .toString()
                    .strip();
            in.skipBytes(1);
            onLine(line, out);
        }
    }

    private void readBody(ByteBuf in, List<Object> out) {
        int length = remainingBytes == UNTIL_CLOSE ? in.readableBytes() : Math.min(remainingBytes, in.readableBytes());
        if (bodyBytes.size() + length > MAX_BODY_BYTES) {
            in.skipBytes(in.readableBytes());
            emitMalformed(out);
            return;
        }
        byte[] received = new byte[length];
        in.readBytes(received);
        bodyBytes.writeBytes(received);
        remainingBytes -= remainingBytes == UNTIL_CLOSE ? 0 : length;
        if (remainingBytes == 0 && state == ParserState.CHUNK) {
            state = ParserState.CHUNK_END;
        } else if (remainingBytes == 0) {
            emitResponse(out);
        }
    }

    private void onLine(String line, List<Object> out) {
        try {
            switch (state) {
                case STATUS -> onStatusLine(line);
                case HEADERS -> onHeaderLine(line, out);
                case CHUNK_SIZE -> onChunkSizeLine(line);
                case CHUNK_END -> state = ParserState.CHUNK_SIZE;
                default -> {
                    if (line.isEmpty()) {
                        emitResponse(out);
                    }
                }
            }
        } catch (IllegalArgumentException e) {
            emitMalformed(out);
        }
    }

    private void onStatusLine(String line) {
        String[] words = line.split(" ", -1);
        if (words.length < 2 || !words[0].startsWith("HTTP/1.")) {
            throw new IllegalArgumentException("not an HTTP/1.x status line");
        }
        status = Integer.parseInt(words[1]);
        remainingBytes = UNTIL_CLOSE;
        chunked = false;
        closeAnnounced = false;
        bodyBytes.reset();
        state = ParserState.HEADERS;
    }

    private void onHeaderLine(String line, List<Object> out) {
        if (line.isEmpty()) {
            onHeadersEnd(out);
            return;
        }
        int colon = line.indexOf(':');
        String name = line.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
        String value = line.substring(colon + 1).strip();
        remainingBytes = name.equals("content-length") ? parseLength(value, DECIMAL) : remainingBytes;
        closeAnnounced |= name.equals("connection") && value.equalsIgnoreCase("close");
        chunked |= name.equals("transfer-encoding") && value.equalsIgnoreCase("chunked");
    }

    private void onHeadersEnd(List<Object> out) {
        if (isInformational()) {
            state = ParserState.STATUS;
        } else if (chunked) {
            state = ParserState.CHUNK_SIZE;
        } else if (remainingBytes == 0 || status == NO_CONTENT) {
            emitResponse(out);
        } else {
            state = ParserState.BODY;
        }
    }

    private boolean isInformational() {
        return status / 100 == 1;
    }

    @SuppressWarnings("StringSplitter") // the empty array for a line of separators has to fail the connection
    private void onChunkSizeLine(String line) {
        String size = line.split(";")[0];
        remainingBytes = parseLength(size.strip(), HEXADECIMAL);
        state = remainingBytes == 0 ? ParserState.TRAILER : ParserState.CHUNK;
    }

    private static int parseLength(String text, int radix) {
        int length = Integer.parseInt(text, radix);
        if (length < 0 || length > MAX_BODY_BYTES) {
            throw new IllegalArgumentException("length out of range: " + text);
        }
        return length;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        super.decodeLast(context, in, out);
        if (state == ParserState.BODY && remainingBytes == UNTIL_CLOSE) {
            emitResponse(out);
        }
    }

    /** Drops the current response, so that a reset does not count as the end of a body without a length. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        state = ParserState.MALFORMED;
        context.fireExceptionCaught(cause);
    }

    private void emitResponse(List<Object> out) {
        boolean closes = closeAnnounced || (remainingBytes == UNTIL_CLOSE && !chunked);
        out.add(new HttpResponse(status, bodyBytes.toString(StandardCharsets.UTF_8), closes));
        state = ParserState.STATUS;
    }

    private void emitMalformed(List<Object> out) {
        state = ParserState.MALFORMED;
        out.add(new HttpResponse(HttpResponse.MALFORMED, "", true));
    }
}
