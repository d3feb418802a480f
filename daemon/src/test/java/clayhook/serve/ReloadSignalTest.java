package clayhook.serve;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ReloadSignalTest {
    /** Without the handler, SIGHUP would end the process that runs this test. */
    @Test
    void everySighupReachesTheHandler() throws Exception {
        var signals = new Semaphore(0);
        ReloadSignal.install(signals::release);
        Class<?> signal = Class.forName("sun.misc.Signal");
        for (int i = 0; i < 3; i++) {
            signal.getMethod("raise", signal)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"));
            signals.acquire();
        }
    }

    /**
     * String concatenation compiled to {@code makeConcatWithConstants} defines classes at the first use of each form,
     * which would delay requests.
     */
    @Test
    void stringConcatenationOfTheServingPathDefinesNoClassesAtRunTime() throws Exception {
        Path folder = Path.of(Router.class.getResource("Router.class").toURI()).getParent();
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> classes = files.toList();
            assertTrue(classes.contains(folder.resolve("Router.class")), "the package's classes were not found");
            for (Path file : classes) {
                String code = Files.readString(file, ISO_8859_1);
                assertFalse(code.contains("makeConcatWithConstants"), file.toString());
            }
        }
    }
}
