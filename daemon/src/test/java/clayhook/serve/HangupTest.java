package clayhook.serve;

import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;

class HangupTest {
    /** Without the handler the runtime ends, and this test with it. */
    @Test
    void sighupIsHeardAsOftenAsItComes() throws Exception {
        var heard = new Semaphore(0);
        Hangup.handle(heard::release);
        Class<?> signal = Class.forName("sun.misc.Signal");
        for (int i = 0; i < 3; i++) {
            signal.getMethod("raise", signal).invoke(null, signal.getConstructor(String.class).newInstance("HUP"));
            heard.acquire();
        }
    }
}
