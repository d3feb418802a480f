package clayhook.serve;

import clayhook.log.Log;

/** Isolates failures, so that a failed step does not prevent the following ones from running. Thread-safe. */
final class FaultBarrier {
    private FaultBarrier() {}

    /**
     * Runs a step and logs any exception that it throws. Also catches errors, because one step may run out of memory
     * while the next does not.
     */
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
