package clayhook.serve;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;

class ReloadSignalTest {
    /** Without the handler the runtime ends, and this test with it. */
    @Test
    void everySighupReachesTheHandler() throws Exception {
        var heard = new Semaphore(0);
        ReloadSignal.install(heard::release);
        Class<?> signal = Class.forName("sun.misc.Signal");
        for (int i = 0; i < 3; i++) {
            signal.getMethod("raise", signal)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"));
            heard.acquire();
        }
    }

    /** Each shape of concatenation would make classes at its first use, while commands wait. */
    @Test
    void textIsJoinedWithoutMakingClasses() throws Exception {
        byte[] code = Router.class.getResourceAsStream("Router.class").readAllBytes();
        assertFalse(new String(code, ISO_8859_1).contains("makeConcatWithConstants"));
    }
}
