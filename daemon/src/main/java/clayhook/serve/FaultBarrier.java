package clayhook.serve;

import clayhook.log.Log;

/** Confines a failure to the step in which it happens. Thread-safe. */
final class FaultBarrier {
    private FaultBarrier() {}

    /** Runs a step; logs what it throws. Errors too: one step may run out of memory while the next does not. */
    static void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            logFault(e);
        }
    }

    static void logFault(Throwable fault) {
        Log.error("an event loop step failed", fault);
    }
}
