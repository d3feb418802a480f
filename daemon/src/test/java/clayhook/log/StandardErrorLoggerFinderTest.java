package clayhook.log;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.junit.jupiter.api.Test;

class StandardErrorLoggerFinderTest {
    /** The runtime passes over a provider that it cannot load, and logs in its own, slower way. */
    @Test
    void isTheProviderThatTheRuntimeFinds() {
        assertInstanceOf(StandardErrorLoggerFinder.class, System.LoggerFinder.getLoggerFinder());
    }
}
