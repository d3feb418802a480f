package clayhook.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/** Decodes HTTP/1.1 answers: a length, chunks, or all up to the end of the connection. */
final class HttpDecoder extends ByteToMessageDecoder {
    /** Ten thousand nodes at some 200 bytes. */
    private static final int LONGEST_BODY = 2 << 20;

    private static final int LONGEST_LINE = 8192;
    private static final int UNTIL_END = -1;

    private enum Part {
        STATUS,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        BROKEN
    }

    private Part part = Part.STATUS;
    private int status;
    private int left;
    private boolean chunked;
    private boolean last;
    private final java.io.ByteArrayOutputStream bytes = new java.io.ByteArrayOutputStream();

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (part == Part.BROKEN) {
            in.skipBytes(in.readableBytes());
        } else if (part == Part.BODY || part == Part.CHUNK) {
            body(in, out);
        } else {
            int length = in.bytesBefore((byte) '\n');
            if (length > LONGEST_LINE || length < 0 && in.readableBytes() > LONGEST_LINE) {
                in.skipBytes(in.readableBytes());
                broken(out);
            } else if (length >= 0) {
                String line = in.readCharSequence(length, StandardCharsets.ISO_8859_1)
                        .toString()
                        .strip();
                in.skipBytes(1);
                line(line, out);
            }
        }
    }

    private void body(ByteBuf in, List<Object> out) {
        int length = left == UNTIL_END ? in.readableBytes() : Math.min(left, in.readableBytes());
        if (bytes.size() + length > LONGEST_BODY) {
            in.skipBytes(in.readableBytes());
            broken(out);
            return;
        }
        byte[] some = new byte[length];
        in.readBytes(some);
        bytes.writeBytes(some);
        left -= left == UNTIL_END ? 0 : length;
        if (left == 0 && part == Part.CHUNK) {
            part = Part.CHUNK_END;
        } else if (left == 0) {
            whole(out);
        }
    }

    private void line(String line, List<Object> out) {
        try {
            switch (part) {
                case STATUS -> status(line);
                case HEADERS -> header(line, out);
                case CHUNK_SIZE -> {
                    left = length(line.split(";")[0].strip(), 16);
                    part = left == 0 ? Part.TRAILER : Part.CHUNK;
                }
                case CHUNK_END -> part = Part.CHUNK_SIZE;
                default -> {
                    if (line.isEmpty()) {
                        whole(out);
                    }
                }
            }
        } catch (IllegalArgumentException e) {
            broken(out);
        }
    }

    private void status(String line) {
        String[] words = line.split(" ");
        if (words.length < 2 || !words[0].startsWith("HTTP/1.")) {
            throw new IllegalArgumentException("no status line");
        }
        status = Integer.parseInt(words[1]);
        left = UNTIL_END;
        chunked = false;
        last = false;
        bytes.reset();
        part = Part.HEADERS;
    }

    private void header(String line, List<Object> out) {
        if (!line.isEmpty()) {
            int colon = line.indexOf(':');
            String name = line.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
            String value = line.substring(colon + 1).strip();
            left = name.equals("content-length") ? length(value, 10) : left;
            last |= name.equals("connection") && value.equalsIgnoreCase("close");
            chunked |= name.equals("transfer-encoding") && value.equalsIgnoreCase("chunked");
        } else if (status / 100 == 1) {
            part = Part.STATUS;
        } else if (chunked) {
            part = Part.CHUNK_SIZE;
        } else if (left == 0 || status == 204) {
            whole(out);
        } else {
            part = Part.BODY;
        }
    }

    private static int length(String text, int base) {
        int length = Integer.parseInt(text, base);
        if (length < 0 || length > LONGEST_BODY) {
            throw new IllegalArgumentException("a length of " + text);
        }
        return length;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        super.decodeLast(context, in, out);
        if (part == Part.BODY && left == UNTIL_END) {
            whole(out);
        }
    }

    /** Guards against taking a reset for the end of an answer without a length. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        part = Part.BROKEN;
        context.fireExceptionCaught(cause);
    }

    private void whole(List<Object> out) {
        boolean ends = last || left == UNTIL_END && !chunked;
        out.add(new HttpResponse(status, bytes.toString(StandardCharsets.UTF_8), ends));
        part = Part.STATUS;
    }

    private void broken(List<Object> out) {
        part = Part.BROKEN;
        out.add(new HttpResponse(0, "", true));
    }
}
