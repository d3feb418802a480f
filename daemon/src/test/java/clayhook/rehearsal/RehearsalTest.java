package clayhook.rehearsal;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Settings;
import clayhook.config.Configuration;
import clayhook.config.Json;
import clayhook.transport.Transport;
import java.util.Map;
import org.junit.jupiter.api.Test;

class RehearsalTest {
    private static Settings settings() throws Exception {
        return Configuration.of(Json.parse("""
                {"name": "r", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "1", "settings": {
                "balancers": 1, "zone": "a", "discovery": "subscribe", "report": {"how": "inline"},
                "domain": {"read_level": ["any"], "max_age": [0], "when_behind": "wait", "write_marks": "carried"},
                "limits": {"most_tries": 3}, "grades": [
                {"name": "any", "effect": "idempotent", "aim": 250000000, "hard_limit": 500000000}]}}
                """), Map.of()).settings();
    }

    @Test
    void rehearsesWhereItsSocketsCarry() throws Exception {
        assertTrue(Rehearsal.run(settings(), Transport.rehearsal(), true));
    }

    @Test
    void rehearsesWithoutSockets() throws Exception {
        assertTrue(Rehearsal.run(settings(), Transport.withinProcess(), true));
    }

    /** A platform may have no sockets but those to the outside; waiting for each answer took minutes, before serving. */
    @Test
    void endsAtOnceWhereItsSocketsCarryNothing() throws Exception {
        Transport elsewhere = Transport.rehearsal();
        try {
            double from = System.nanoTime() / 1e9;
            assertFalse(Rehearsal.run(settings(), Transport.rehearsal(), elsewhere, false));
            assertTrue(System.nanoTime() / 1e9 - from < 10, "it waited for answers that cannot come");
        } finally {
            elsewhere.close();
        }
    }
}
