package clayhook.lab.model;

/** What tells the time, in seconds, and lets things happen at one: virtual, or a loop on the machine's own clock. */
public interface Scheduler {
    double now();

    /** Never before now. */
    void at(double time, Runnable what);

    default void in(double seconds, Runnable what) {
        at(now() + seconds, what);
    }
}
