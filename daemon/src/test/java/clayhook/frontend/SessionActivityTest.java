package clayhook.frontend;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SessionActivityTest {
    private final SessionActivity activity = new SessionActivity(0);

    /** Guards against the disconnect of a client that reads, while it sends empty statements at full speed. */
    @Test
    void clientThatReadsIsNotCountedAsNotReading() {
        for (double now = 0; now < 60; now += 5) {
            activity.onResponse(now);
            assertFalse(activity.isResponseUnreadTooLong(now + 5));
            activity.onWritten(now + 5);
        }
        assertFalse(activity.isResponseUnreadTooLong(69));
        assertTrue(activity.isResponseUnreadTooLong(71));
    }

    /** Guards against a disconnect as soon as a client sends an empty statement after a long pause. */
    @Test
    void timeToReadBeginsWithTheResponse() {
        activity.onResponse(100);
        assertFalse(activity.isResponseUnreadTooLong(109));
        assertTrue(activity.isResponseUnreadTooLong(111));
    }
}
