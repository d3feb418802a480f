package clayhook.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Endpoint.State;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class DiscoveryDecodingTest {
    private static final String ENTRY = "{\"uid\":\"s\",\"endpoint\":\"127.0.0.1:6543\",\"az\":\"a\",\"pod_group\":3,"
            + "\"state\":\"draining\",\"role\":\"primary\",\"boot_ms\":1500}";

    private static final String CHUNKED_HEADERS = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /**
     * Decodes a response that is received in pieces.
     *
     * @param pieceLength the length of the pieces
     * @param closesConnection whether the connection is closed after the text
     */
    private static HttpResponse decode(String text, int pieceLength, boolean closesConnection) {
        var channel = new EmbeddedChannel(new HttpResponseDecoder());
        for (int i = 0; i < text.length(); i += pieceLength) {
            String piece = text.substring(i, Math.min(text.length(), i + pieceLength));
            channel.writeInbound(Unpooled.copiedBuffer(piece, UTF_8));
        }
        if (closesConnection) {
            channel.finish();
        }
        HttpResponse response = channel.readInbound();
        channel.finishAndReleaseAll();
        return response;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 1000})
    void splitResponseIsDecoded(int pieceLength) {
        assertEquals(
                new HttpResponse(200, "hello", false),
                decode("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", pieceLength, false));
        assertEquals(
                new HttpResponse(200, "hello", false),
                decode(CHUNKED_HEADERS + "2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n", pieceLength, false));
        assertEquals(new HttpResponse(200, "hello", true), decode("HTTP/1.0 200 OK\r\n\r\nhello", pieceLength, true));
        assertEquals(
                new HttpResponse(503, "", true),
                decode("HTTP/1.1 503 Busy\r\nconnection: close\r\ncontent-length: 0\r\n\r\n", pieceLength, false));
    }

    @Test
    void connectionResetDoesNotCompleteAResponseWithoutLength() {
        var channel = new EmbeddedChannel(new HttpResponseDecoder());
        channel.writeInbound(
                Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\n\r\n{\"rev\":1,\"all\":true,\"targets\":[]}", UTF_8));
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        assertThrows(IOException.class, channel::finish);
        assertNull(channel.readInbound());
    }

    @Test
    void indentedListIsParsed() {
        String indented = "{\r\n\t\"rev\" : 43,\n  \"all\" : false,\n  \"targets\" : [\n    "
                + ENTRY.replace(",", " ,\n      ").replace(":\"", " : \"") + "\n  ]\n}\n";
        assertEquals(
                EndpointList.parse("{\"rev\":43,\"all\":false,\"targets\":[" + ENTRY + "]}"),
                EndpointList.parse(indented));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "SSH-2.0\r\n",
                "HTTP/1.1 x\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
            })
    void malformedResponseHasStatusZero(String text) {
        assertEquals(0, decode(text, 1000, false).status());
    }

    @Test
    void everyEndpointOfALongListIsParsed() {
        String text = "{\"rev\":43,\"all\":false,\"targets\":[" + (ENTRY + ",").repeat(1999) + ENTRY + "]}";
        EndpointList list = EndpointList.parse(
                decode("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text, 1000, false)
                        .body());
        assertEquals(2000, list.endpoints().size());
        EndpointList.DiscoveredEndpoint endpoint = list.endpoints().get(1999);
        assertEquals(43, list.version());
        assertEquals(
                new EndpointList.DiscoveredEndpoint("s", endpoint.address(), "a", 3, State.DRAINING, true, 1.5),
                endpoint);
        assertEquals(6543, endpoint.address().getPort());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "draining | away | state",
                "127.0.0.1:6543 | 127.0.0.1 | endpoint",
                "127.0.0.1:6543 | db.example:1 | endpoint",
                "127.0.0.1:6543 | 127.0.0.1:70000 | endpoint",
                "uid | u | uid",
                "1500 | \"x\" | boot_ms",
                "{ | [ | missing"
            })
    void errorNamesTheInvalidField(String part, String replacement, String field) {
        String text = "{\"rev\":43,\"all\":true,\"targets\":[" + ENTRY.replace(part, replacement) + "]}";
        var error = assertThrows(MalformedEndpointListException.class, () -> EndpointList.parse(text));
        assertTrue(error.getMessage().contains(field), error.getMessage());
    }
}
