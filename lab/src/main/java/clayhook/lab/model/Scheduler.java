package clayhook.lab.model;

/** A clock in seconds that runs events at given times: virtual, or an event loop on the machine's clock. */
public interface Scheduler {
    double now();

    /** Schedules an event; one with a time in the past runs now. */
    void scheduleAt(double time, Runnable event);

    default void scheduleAfter(double seconds, Runnable event) {
        scheduleAt(now() + seconds, event);
    }
}
