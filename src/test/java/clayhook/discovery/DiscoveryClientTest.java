package clayhook.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.rehearsal.StandInDiscovery;
import clayhook.serve.Transport;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DiscoveryClientTest implements DiscoveryClient.Listener {
    private final Transport transport = Transport.tcp();
    private final LinkedBlockingQueue<String> calls = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<String> heard = new LinkedBlockingQueue<>();
    private DiscoveryClient client;

    private void start(String... answers) throws InterruptedException {
        var left = new LinkedBlockingQueue<>(List.of(answers));
        var discovery = new StandInDiscovery(transport, transport.spare(0), call -> {
            calls.add(call);
            return left.poll();
        });
        client = new DiscoveryClient(transport, discovery.address(), 41, this);
        watch();
    }

    private void watch() {
        transport.loop().execute(client::watch);
    }

    @Override
    public void listed(NodeList list) {
        heard.add((list.whole() ? "whole " : "changes ") + list.version());
    }

    @Override
    public void listFailed() {
        heard.add("failed");
    }

    @AfterEach
    void close() {
        transport.close();
    }

    private static String list(int version, boolean whole) {
        return "{\"rev\":" + version + ",\"all\":" + whole + ",\"targets\":[]}";
    }

    @Test
    void eachAnswerIsFollowedByTheNextCallWithItsVersion() throws Exception {
        start(list(42, false), list(45, true));
        assertEquals("changes 42", heard.take());
        assertEquals("whole 45", heard.take());
        for (int version : new int[] {41, 42, 45}) {
            String call = calls.take();
            assertTrue(call.startsWith("GET /v1/endpoints?after=" + version + "&wait_ms="), call);
        }
    }

    @Test
    void theWatchGoesOnWhereTheServiceClosesTheConnection() throws Exception {
        start("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 35\r\n\r\n" + list(42, false), list(43, false));
        assertEquals("changes 42", heard.take());
        assertEquals("changes 43", heard.take());
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "HTTPS\r\n", "[]", "{\"rev\":42}"})
    void aFailedCallIsMadeAgainOnlyWhenAskedAndFromTheOldVersion(String answer) throws Exception {
        start(answer, list(43, true));
        assertEquals("failed", heard.take());
        watch();
        assertEquals("whole 43", heard.take());
        calls.take();
        assertTrue(calls.take().contains("after=41"));
    }
}
