package clayhook.log;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.junit.jupiter.api.Test;

class StandardErrorLoggerFinderTest {
    /** The JDK ignores a provider that it cannot load and falls back to its own, slower logger. */
    @Test
    void isFoundAsTheLoggerProvider() {
        assertInstanceOf(StandardErrorLoggerFinder.class, System.LoggerFinder.getLoggerFinder());
    }
}
