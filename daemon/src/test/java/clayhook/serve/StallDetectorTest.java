package clayhook.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StallDetectorTest {
    private final StallDetector detector = new StallDetector(100);

    @Test
    void nothingWaitedWhileTheHeartbeatIsOnTime() {
        detector.onHeartbeat(100.05);
        assertEquals(0, detector.secondsUnread(100.09));
        detector.onHeartbeat(100.11);
        assertEquals(0, detector.secondsUnread(100.12));
    }

    @Test
    void aRequestReadBeforeTheLateHeartbeatMayHaveComeAtTheBeginningOfTheStall() {
        detector.onHeartbeat(100.05);
        assertEquals(0.95, detector.secondsUnread(101), 1e-9);
    }

    @Test
    void soMayOneReadRightAfterTheLateHeartbeatAndNoneLater() {
        detector.onHeartbeat(100.05);
        detector.onHeartbeat(101);
        assertEquals(0.96, detector.secondsUnread(101.01), 1e-9);
        detector.onHeartbeat(101.05);
        detector.onHeartbeat(101.1);
        assertEquals(0, detector.secondsUnread(101.11));
    }
}
